#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/error.h"
#include "fleet/fleet_agent.h"
#include "gateway/target_registry.h"
#include "proto/dispatch.pb.h"

namespace jackdaw::serving {

/// Sends and receives datagrams that announce the requests dispatched to model
/// engines. Each instance routes on its own; the notices let it count what its
/// peers have dispatched, so that prompts spread evenly over the engines. A
/// lost datagram only makes an estimate of load less exact.
class DispatchNotifier {
 public:
  /// @param own address of the instance; datagrams use the same port number
  DispatchNotifier(boost::asio::io_context& context,
                   const MonotonicClock& clock,
                   const FleetAgent& agent,
                   TargetRegistry& registry,
                   const Endpoint& own);

  /// Binds the socket and starts to receive.
  /// @returns kAddressInUse if the address cannot be bound
  Result<void> Listen();
  /// Announces a dispatched request to the peers. Notices are sent in batches.
  /// @param tokens prompt tokens that the target probably has to process
  void Announce(const Target& target,
                const RequestMetadata& call,
                std::int64_t tokens);

 private:
  static constexpr std::size_t kMaxDatagramBytes = 8192;

  void Flush();
  void Receive();
  void OnNotice(std::size_t size);

  const MonotonicClock& clock_;
  const FleetAgent& agent_;
  TargetRegistry& registry_;
  Endpoint own_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  boost::asio::steady_timer timer_;
  std::array<char, kMaxDatagramBytes> input_{};
  dispatch::DispatchNotice pending_;
  bool flush_scheduled_ = false;
};

}  // namespace jackdaw::serving
