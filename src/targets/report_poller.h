#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/duty.h"
#include "decisions/decision_thread.h"
#include "instance/fleet_view.h"
#include "targets/target_client.h"

namespace jackdaw {

/// Requests the load report of every target at a fixed interval.
class ReportPoller {
 public:
  ReportPoller(Duty& thread,
               const MonotonicClock& clock,
               TargetClient& target_client,
               const FleetViewHolder& view,
               DecisionThread& decisions)
      : thread_(thread),
        clock_(clock),
        target_client_(target_client),
        view_(view),
        decisions_(decisions) {}

  void Start();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> PollOne(std::string name, std::string address);

  Duty& thread_;
  const MonotonicClock& clock_;
  TargetClient& target_client_;
  const FleetViewHolder& view_;
  DecisionThread& decisions_;
};

}  // namespace jackdaw
