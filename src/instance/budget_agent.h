#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "budget/config_validity.h"
#include "core/duty.h"
#include "decisions/decision_thread.h"
#include "instance/fleet_view.h"
#include "instance/metrics.h"
#include "instance/run_state.h"
#include "peer/peer_service.h"
#include "platform/table_store.h"
#include "settings/instance_settings.h"

namespace jackdaw {

/// Connects the budgets, which the decision thread owns, to the table service
/// and to the other instances: runs the rounds in which quota shares move,
/// exchanges budget messages with peers, and keeps the deadline until which
/// the configuration may be used.
class BudgetAgent {
 public:
  /// @param duty thread that runs the agent and `peers`
  BudgetAgent(Duty& duty,
              const MonotonicClock& clock,
              const InstanceSettings& settings,
              FleetViewHolder& view,
              RunState& run_state,
              PeerService& peers,
              DecisionThread& decisions);

  /// Registers with the peer service and starts the rounds. Call only before
  /// the threads start.
  void Start();

  /// Hands over all quota shares of this instance to others, if the store can
  /// be reached.
  boost::asio::awaitable<void> HandOver();

 private:
  boost::asio::awaitable<void> RunRounds();
  boost::asio::awaitable<void> RunConfirmation();
  boost::asio::awaitable<bool> RunRound();
  boost::asio::awaitable<bool> ExchangeRows();
  boost::asio::awaitable<void> ApplyView();
  boost::asio::awaitable<void> UpdateConfirmation();
  boost::asio::awaitable<void> AnswerAsk(std::string peer, BudgetAsk ask);
  boost::asio::awaitable<void> ApplyGrant(std::string peer, BudgetGrant grant);
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
  ConfigValidity confirmation_;
  FleetViewPtr applied_view_;
  bool applied_leaving_ = false;
  bool in_round_ = false;
  std::size_t next_probe_ = 0;
};

}  // namespace jackdaw
