#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "logread/log_record.h"

namespace jackdaw::logread {

/// Requests with the same outcome, reason, workspace and instance.
struct RefusalGroup {
  std::string outcome;
  std::string reason;
  std::string workspace;
  std::string instance;
  std::int64_t count = 0;
  /// Id of one of the requests, for use with `explain`.
  std::string example;
};

/// Time range of the requests to count.
struct TimeRange {
  /// Times in log format, `from` included and `to` excluded; empty for no
  /// limit.
  std::string from;
  std::string to;
};

/// Groups the requests whose outcome is other than `answered`.
/// @returns the groups in descending order of size
std::vector<RefusalGroup> SummarizeRefusals(
    const std::vector<LogRecord>& records,
    const TimeRange& span);

std::string RefusalText(const std::vector<RefusalGroup>& groups);
boost::json::value RefusalJson(const std::vector<RefusalGroup>& groups);

}  // namespace jackdaw::logread
