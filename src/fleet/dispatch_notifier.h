#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "fleet/fleet_agent.h"
#include "fleet/peer_datagrams.h"
#include "gateway/target_registry.h"

namespace jackdaw::serving {

/// Announces the requests dispatched to model engines to the other instances.
/// Each instance routes on its own; the notices let it count what its peers
/// have dispatched, so that prompts spread evenly over the engines. A lost
/// notice only makes an estimate of load less exact.
class DispatchNotifier {
 public:
  DispatchNotifier(boost::asio::io_context& context,
                   const MonotonicClock& clock,
                   const FleetAgent& agent,
                   TargetRegistry& registry,
                   PeerDatagrams& datagrams);

  /// Announces a dispatched request to the peers. Notices are sent in batches.
  /// Reports of the load of targets are sent along.
  void Announce(const Target& target,
                const RequestMetadata& call,
                const SentRequest& sent);
  /// Announces a request that is sent to a target whose requests of each second
  /// are bounded. All instances get this notice, as each counts all requests.
  /// @param granted the leader was asked for it
  void AnnounceSend(const Target& target, bool granted);
  /// Applies the notices of another instance.
  void OnMessage(const dispatch::PeerDatagram& message);

 private:
  void ScheduleFlush();
  void Flush();

  const MonotonicClock& clock_;
  const FleetAgent& agent_;
  TargetRegistry& registry_;
  PeerDatagrams& datagrams_;
  boost::asio::steady_timer timer_;
  dispatch::PeerDatagram pending_;
  bool flush_scheduled_ = false;
};

}  // namespace jackdaw::serving
