#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "instance/run_state.h"
#include "peer/peer_service.h"
#include "record/batch_writer.h"
#include "record/copy_keeper.h"
#include "record/refusal_log.h"

namespace jackdaw {

/// Instance that is to hold the copies of another: in another failure domain
/// where there is one, never leaving, the same choice while the list stays.
/// @returns empty when there is none
std::string ChooseKeeper(const FleetView& view,
                         std::string_view self,
                         std::string_view failure_domain);

/// Sends copies of records that are not stored yet to a peer, and holds those
/// of peers. Runs on the recorder's thread.
class CopyExchange {
 public:
  /// Registers its messages; before the peers start.
  CopyExchange(Duty& duty,
               const MonotonicClock& clock,
               const InstanceSettings& settings,
               const FleetViewHolder& view,
               RunState& run_state,
               PeerService& peers,
               RefusalLog& log);

  void Start();

 private:
  void OnEnvelope(const peer::Envelope& envelope);
  void OnCopy(const peer::Envelope& envelope);
  void SendCopies();
  boost::asio::awaitable<void> RunCopies();
  boost::asio::awaitable<void> RunRecovery();
  boost::asio::awaitable<void> Recover();

  Duty& duty_;
  const MonotonicClock& clock_;
  const InstanceSettings& settings_;
  const FleetViewHolder& view_;
  RunState& run_state_;
  PeerService& peers_;
  RefusalLog& log_;
  BatchWriter writer_;
  CopyKeeper keeper_;
  std::uint64_t told_stored_ = 0;
  Instant reachable_since_ = Instant::max();
};

}  // namespace jackdaw
