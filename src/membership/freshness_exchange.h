#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/duty.h"
#include "instance/run_state.h"
#include "membership/view_freshness.h"
#include "peer/peer_service.h"

namespace jackdaw {

/// Copies what ViewFreshness says to where every thread reads it.
void PublishFreshness(const ViewFreshness& freshness, RunState& run_state);

/// Asks peers how fresh their view is while the store does not confirm the
/// own one, and answers those that ask. Runs on the thread of the peers.
class FreshnessExchange {
 public:
  /// Registers its messages; before the peers start.
  FreshnessExchange(Duty& duty,
                    const MonotonicClock& clock,
                    PeerService& peers,
                    RunState& run_state,
                    ViewFreshness& freshness);

  void Start();

 private:
  void OnRequest(const peer::Envelope& envelope);
  void OnReply(const peer::Envelope& envelope);
  boost::asio::awaitable<void> Run();

  Duty& duty_;
  const MonotonicClock& clock_;
  PeerService& peers_;
  RunState& run_state_;
  ViewFreshness& freshness_;
};

}  // namespace jackdaw
