#include "peer/peer_link.h"

#include <zmq.hpp>

namespace jackdaw {
namespace {

// Messages queued for the thread.
constexpr std::size_t kOutgoingCapacity = 4096;
// Messages that ZeroMQ queues per socket while the receiver does not keep up.
constexpr int kHighWaterMark = 1000;
// Poll timeout: longest time that an outgoing message waits for the thread
// while no message arrives.
constexpr std::chrono::milliseconds kPollTime{10};
// Maximum number of connections to peers; beyond it all are closed and opened
// again as needed.
constexpr std::size_t kMaxPeers = 1024;

}  // namespace

struct PeerLink::Sockets {
  zmq::context_t context{1};
  zmq::socket_t pull{context, zmq::socket_type::pull};
  std::map<std::string, zmq::socket_t, std::less<>> push;

  zmq::socket_t& PushTo(const std::string& address) {
    if (push.size() >= kMaxPeers) {
      push.clear();
    }
    const auto found = push.find(address);
    if (found != push.end()) {
      return found->second;
    }
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    socket.connect("tcp://" + address);
    return push.emplace(address, std::move(socket)).first->second;
  }
};

PeerLink::PeerLink(Receiver receiver)
    : receiver_(std::move(receiver)),
      outgoing_(kOutgoingCapacity),
      sockets_(std::make_unique<Sockets>()) {}

PeerLink::~PeerLink() {
  Stop();
}

Result<std::string> PeerLink::Start(std::string_view address) {
  std::string wanted(address);
  if (wanted.ends_with(":0")) {
    wanted.back() = '*';
  }
  try {
    sockets_->pull.set(zmq::sockopt::linger, 0);
    sockets_->pull.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    sockets_->pull.bind("tcp://" + wanted);
  } catch (const zmq::error_t& failure) {
    return Error{ErrorKind::kAddressInUse,
                 std::string(address) + ": " + failure.what(),
                 "free the port or set another; 0 lets the system pick"};
  }
  // The endpoint without its leading tcp://.
  const std::string bound =
      sockets_->pull.get(zmq::sockopt::last_endpoint).substr(6);
  thread_ = std::thread([this] { Run(); });
  return bound;
}

void PeerLink::Stop() {
  stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool PeerLink::TrySend(PeerMessage message) {
  return outgoing_.TryPush(message);
}

void PeerLink::Run() {
  while (!stop_) {
    zmq::pollitem_t item{sockets_->pull.handle(), 0, ZMQ_POLLIN, 0};
    zmq::poll(&item, 1, kPollTime);
    zmq::message_t message;
    while (sockets_->pull.recv(message, zmq::recv_flags::dontwait)) {
      receiver_(message.to_string());
    }
    while (auto out = outgoing_.TryPop()) {
      sockets_->PushTo(out->address)
          .send(zmq::buffer(out->bytes), zmq::send_flags::dontwait);
    }
  }
}

}  // namespace jackdaw
