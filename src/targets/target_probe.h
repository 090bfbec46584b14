#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/duty.h"
#include "routing/target_report.h"
#include "targets/target_client.h"

namespace jackdaw {

/// Requests the load report of a target at once, over a new connection, to
/// distinguish a crash of the target from a broken connection.
class TargetProbe {
 public:
  TargetProbe(Duty& thread,
              const MonotonicClock& clock,
              TargetClient& target_client)
      : thread_(thread), clock_(clock), target_client_(target_client) {}

  /// @returns the report, or the error because of which there is none
  boost::asio::awaitable<Result<TargetReport>> FetchReport(std::string address);

 private:
  boost::asio::awaitable<Result<TargetReport>> FetchReportOnThread(
      std::string address);

  Duty& thread_;
  const MonotonicClock& clock_;
  TargetClient& target_client_;
};

}  // namespace jackdaw
