#include "fleet/peer_datagrams.h"

#include "core/log.h"

namespace jackdaw::serving {
namespace {

using boost::asio::ip::udp;

udp::endpoint UdpOf(const Endpoint& endpoint) {
  return {endpoint.address(), endpoint.port()};
}

}  // namespace

PeerDatagrams::PeerDatagrams(boost::asio::io_context& context,
                             const Endpoint& own,
                             Handler handler)
    : own_(own), handler_(std::move(handler)), socket_(context) {}

Result<void> PeerDatagrams::Listen() {
  boost::system::error_code failure;
  socket_.open(UdpOf(own_).protocol(), failure);
  if (!failure) {
    socket_.bind(UdpOf(own_), failure);
  }
  if (failure) {
    return Error{
        ErrorKind::kAddressInUse,
        "cannot receive datagrams on " + ToText(own_) + ": " +
            failure.message(),
        "stop the process that listens there or change the setting 'peer'"};
  }
  socket_.non_blocking(true, failure);
  Receive();
  return success();
}

void PeerDatagrams::Send(const dispatch::PeerDatagram& message,
                         const Endpoint& receiver) {
  // A failed send, such as one to a full buffer, drops the message; the network
  // may drop it as well.
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(message.SerializeAsString()),
                  UdpOf(receiver), 0, ignored);
}

void PeerDatagrams::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(input_), sender_,
      [this](const auto& failure, std::size_t size) {
        if (failure == boost::asio::error::operation_aborted) {
          return;
        }
        if (!failure) {
          OnDatagram(size);
        }
        Receive();
      });
}

void PeerDatagrams::OnDatagram(std::size_t size) {
  dispatch::PeerDatagram message;
  if (!message.ParseFromArray(input_.data(), static_cast<int>(size))) {
    Log(LogLevel::kWarn, "datagram_unreadable",
        {{"sender", sender_.address().to_string()}});
    return;
  }
  handler_(message, Endpoint(sender_.address(), sender_.port()));
}

}  // namespace jackdaw::serving
