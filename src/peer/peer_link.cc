#include "peer/peer_link.h"

#include <cstring>
#include <zmq.hpp>

#include "core/log.h"

namespace jackdaw {
namespace {

// Messages queued for the thread.
constexpr std::size_t kOutgoingCapacity = 4096;
// Messages that ZeroMQ queues for each connection while the receiver does not
// keep up: of other instances, and for them.
constexpr int kReceiveHighWaterMark = 64;
constexpr int kSendHighWaterMark = 1000;
// Poll timeout: longest time that an outgoing message waits for the thread
// while no message arrives.
constexpr std::chrono::milliseconds kPollTime{10};
// Maximum number of connections to peers; beyond it all are closed and opened
// again as needed.
constexpr std::size_t kMaxPeers = 1024;
// Connections of others above which all are closed. Instances connect again by
// themselves, and only one is needed for each of them.
constexpr int kMaxAccepted = 512;
// Bounds of the kernel's buffer for what a connection receives, and of the
// queue of connections that are not yet accepted.
constexpr int kReceiveBufferBytes = 8 * 1024;
constexpr int kBacklog = 128;
// Time for the greeting of a connection, and for the answer to a ping.
constexpr int kHandshakeMs = 3000;
constexpr int kPingIntervalMs = 2000;
constexpr int kPingTimeoutMs = 5000;
constexpr const char* kMonitorAddress = "inproc://accepted";

}  // namespace

struct PeerLink::Sockets {
  zmq::context_t context{1};
  zmq::socket_t pull{context, zmq::socket_type::pull};
  // Tells of connections that were accepted or have ended.
  zmq::socket_t monitor{context, zmq::socket_type::pair};
  std::map<std::string, zmq::socket_t, std::less<>> push;
  // Address to which `pull` is bound, or is to be bound again.
  std::string endpoint;
  bool bound = false;
  int accepted = 0;

  void SetOptions() {
    pull.set(zmq::sockopt::linger, 0);
    pull.set(zmq::sockopt::rcvhwm, kReceiveHighWaterMark);
    pull.set(zmq::sockopt::rcvbuf, kReceiveBufferBytes);
    pull.set(zmq::sockopt::backlog, kBacklog);
    pull.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxMessageBytes));
    pull.set(zmq::sockopt::handshake_ivl, kHandshakeMs);
    pull.set(zmq::sockopt::heartbeat_ivl, kPingIntervalMs);
    pull.set(zmq::sockopt::heartbeat_timeout, kPingTimeoutMs);
    monitor.set(zmq::sockopt::linger, 0);
    // The library would wait for room in the queue of events.
    monitor.set(zmq::sockopt::rcvhwm, 0);
  }

  void Bind(const std::string& address) {
    pull.bind(address);
    endpoint = pull.get(zmq::sockopt::last_endpoint);
    bound = true;
  }

  void Monitor() {
    if (zmq_socket_monitor(pull.handle(), kMonitorAddress,
                           ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED) != 0) {
      throw zmq::error_t();
    }
    monitor.connect(kMonitorAddress);
  }

  // Each event has two parts: its number with a value, and an address.
  void CountAccepted() {
    zmq::message_t event;
    zmq::message_t address;
    while (monitor.recv(event, zmq::recv_flags::dontwait)) {
      static_cast<void>(monitor.recv(address));
      std::uint16_t kind = 0;
      std::memcpy(&kind, event.data(), sizeof kind);
      accepted += kind == ZMQ_EVENT_ACCEPTED ? 1 : -1;
    }
  }

  // Closes all connections of others if there are too many.
  void KeepBound() {
    if (bound && accepted > kMaxAccepted) {
      Log(LogLevel::kWarn, "peer_connections_closed",
          {{"connections", std::to_string(accepted)}});
      pull.unbind(endpoint);
      bound = false;
    }
    if (bound) {
      return;
    }
    // The address is taken until the library has closed the listener.
    try {
      Bind(endpoint);
    } catch (const zmq::error_t&) {
      return;
    }
  }

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
    socket.set(zmq::sockopt::sndhwm, kSendHighWaterMark);
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
    sockets_->SetOptions();
    sockets_->Monitor();
    sockets_->Bind("tcp://" + wanted);
  } catch (const zmq::error_t& failure) {
    return Error{ErrorKind::kAddressInUse,
                 std::string(address) + ": " + failure.what(),
                 "free the port or set another; 0 lets the system pick"};
  }
  // The endpoint without its leading tcp://.
  const std::string bound = sockets_->endpoint.substr(6);
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
  if (message.bytes.size() > kMaxMessageBytes) {
    Log(LogLevel::kWarn, "peer_message_too_long",
        {{"address", message.address},
         {"bytes", std::to_string(message.bytes.size())}});
    return false;
  }
  return outgoing_.TryPush(message);
}

void PeerLink::Run() {
  while (!stop_) {
    zmq::pollitem_t item{sockets_->pull.handle(), 0, ZMQ_POLLIN, 0};
    zmq::poll(&item, 1, kPollTime);
    Receive();
    Send();
    sockets_->CountAccepted();
    sockets_->KeepBound();
  }
}

void PeerLink::Receive() {
  zmq::message_t message;
  while (sockets_->pull.recv(message, zmq::recv_flags::dontwait)) {
    receiver_(message.to_string());
  }
}

void PeerLink::Send() {
  while (auto out = outgoing_.TryPop()) {
    sockets_->PushTo(out->address)
        .send(zmq::buffer(out->bytes), zmq::send_flags::dontwait);
  }
}

}  // namespace jackdaw
