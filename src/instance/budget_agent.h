#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "budget/confirmation.h"
#include "core/duty.h"
#include "decisions/decision_thread.h"
#include "instance/fleet_view.h"
#include "instance/metrics.h"
#include "instance/run_state.h"
#include "peer/peer_service.h"
#include "platform/table_store.h"
#include "settings/instance_settings.h"

namespace jackdaw {

/// Joins the budgets, which the deciding thread owns, to the table service
/// and to the other instances.
class BudgetAgent {
 public:
  /// @param duty thread that runs the agent, also that of `peers`
  BudgetAgent(Duty& duty,
              const MonotonicClock& clock,
              const InstanceSettings& settings,
              FleetViewHolder& view,
              RunState& run_state,
              PeerService& peers,
              DecisionThread& decisions);

  /// Registers with the peer service and starts the rounds; before the
  /// threads start only.
  void Start();

  /// Hands over all shares, as far as the store can be reached.
  boost::asio::awaitable<void> HandOver();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<bool> Round();
  boost::asio::awaitable<bool> RoundOnce();
  boost::asio::awaitable<void> TakeView();
  boost::asio::awaitable<void> Confirm();
  boost::asio::awaitable<void> OnAsk(std::string peer, BudgetAsk ask);
  boost::asio::awaitable<void> OnGrant(std::string peer, BudgetGrant grant);
  void OnProbe(const peer::Envelope& envelope);
  void OnProbeReply(const peer::Envelope& envelope);
  void SendProbes();
  void SendBudget(const std::vector<BudgetMessage>& messages);
  std::uint64_t ConfigVersion() const;

  Duty& duty_;
  const MonotonicClock& clock_;
  FleetViewHolder& view_;
  RunState& run_state_;
  PeerService& peers_;
  DecisionThread& decisions_;
  serving::platform::TableStore platform_;
  Confirmation confirmation_;
  FleetViewPtr seen_view_;
  bool seen_leaving_ = false;
  bool in_round_ = false;
  std::size_t next_probe_ = 0;
};

}  // namespace jackdaw
