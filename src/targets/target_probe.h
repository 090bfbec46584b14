#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/duty.h"
#include "routing/target_report.h"
#include "targets/relay.h"

namespace jackdaw {

/// Asks a target for its report at once, over a fresh connection, to tell a
/// crash from a broken connection.
class TargetProbe {
 public:
  TargetProbe(Duty& duty, const MonotonicClock& clock, Relay& relay)
      : duty_(duty), clock_(clock), relay_(relay) {}

  /// @returns the report, or why none came
  boost::asio::awaitable<Result<TargetReport>> Ask(std::string address);

 private:
  boost::asio::awaitable<Result<TargetReport>> AskHere(std::string address);

  Duty& duty_;
  const MonotonicClock& clock_;
  Relay& relay_;
};

}  // namespace jackdaw
