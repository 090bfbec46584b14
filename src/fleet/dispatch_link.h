#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/error.h"
#include "fleet/fleet_agent.h"
#include "gateway/target_board.h"
#include "proto/dispatch.pb.h"

namespace jackdaw::serving {

/// Datagrams by which instances tell each other what they send to model
/// engines, so that prompts spread over the engines although each instance
/// chooses by itself. A lost datagram only makes an estimate worse.
class DispatchLink {
 public:
  /// @param own address of the instance; datagrams use the same port number
  DispatchLink(boost::asio::io_context& context,
               const MonotonicClock& clock,
               const FleetAgent& agent,
               TargetBoard& board,
               const Endpoint& own);

  /// Binds and starts to receive. @returns kAddressInUse where it cannot
  Result<void> Listen();
  /// Tells the others of a request that is sent.
  void Tell(const Target& target,
            const RequestMetadata& call,
            std::int64_t tokens);

 private:
  static constexpr std::size_t kMostBytes = 8192;

  void Flush();
  void Receive();
  void OnNotice(std::size_t size);

  const MonotonicClock& clock_;
  const FleetAgent& agent_;
  TargetBoard& board_;
  Endpoint own_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  boost::asio::steady_timer timer_;
  std::array<char, kMostBytes> input_{};
  dispatch::DispatchNotice pending_;
  bool armed_ = false;
};

}  // namespace jackdaw::serving
