#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

#include "core/error.h"
#include "http/endpoint.h"
#include "proto/dispatch.pb.h"

namespace jackdaw::serving {

/// Sends and receives the datagrams between instances. Any of them may be lost,
/// and may arrive late or twice.
class PeerDatagrams {
 public:
  using Handler = std::function<void(const dispatch::PeerDatagram& message,
                                     const Endpoint& sender)>;

  /// @param own address of the instance; datagrams use the same port number
  /// @param handler called for each readable datagram
  PeerDatagrams(boost::asio::io_context& context,
                const Endpoint& own,
                Handler handler);

  /// Binds the socket and starts to receive.
  /// @returns kAddressInUse if the address cannot be bound
  Result<void> Listen();
  /// Sends a message. One that the network has no room for is dropped.
  void Send(const dispatch::PeerDatagram& message, const Endpoint& receiver);

 private:
  static constexpr std::size_t kMaxDatagramBytes = 8192;

  void Receive();
  void OnDatagram(std::size_t size);

  Endpoint own_;
  Handler handler_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> input_{};
};

}  // namespace jackdaw::serving
