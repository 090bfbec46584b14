#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/duty.h"
#include "routing/target_report.h"
#include "targets/target_client.h"

namespace jackdaw {

/// Asks a target for its report at once, over a fresh connection, to tell a
/// crash from a broken connection.
class TargetProbe {
 public:
  TargetProbe(Duty& thread,
              const MonotonicClock& clock,
              TargetClient& target_client)
      : thread_(thread), clock_(clock), target_client_(target_client) {}

  /// @returns the report, or why none came
  boost::asio::awaitable<Result<TargetReport>> FetchReport(std::string address);

 private:
  boost::asio::awaitable<Result<TargetReport>> FetchReportOnThread(
      std::string address);

  Duty& thread_;
  const MonotonicClock& clock_;
  TargetClient& target_client_;
};

}  // namespace jackdaw
