#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/duty.h"
#include "decisions/decisions.h"
#include "instance/fleet_view.h"
#include "targets/relay.h"

namespace jackdaw {

/// Reads the load report of every target at a steady pace.
class ReportPoller {
 public:
  ReportPoller(Duty& duty,
               const MonotonicClock& clock,
               Relay& relay,
               const FleetViewHolder& view,
               Decisions& decisions)
      : duty_(duty),
        clock_(clock),
        relay_(relay),
        view_(view),
        decisions_(decisions) {}

  void Start();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> PollOne(std::string name, std::string address);

  Duty& duty_;
  const MonotonicClock& clock_;
  Relay& relay_;
  const FleetViewHolder& view_;
  Decisions& decisions_;
};

}  // namespace jackdaw
