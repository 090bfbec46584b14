#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "logread/log_record.h"

namespace jackdaw::logread {

/// Requests that ended alike: kind, workspace and instance.
struct RefusalGroup {
  std::string outcome;
  std::string reason;
  std::string workspace;
  std::string instance;
  std::int64_t count = 0;
  /// One of them, for `explain`.
  std::string example;
};

/// Which requests are counted.
struct TimeRange {
  /// As in the logs; empty leaves the span open.
  std::string from;
  std::string to;
};

/// Groups the requests that were refused, failed or broken off.
/// @returns the groups, the largest first
std::vector<RefusalGroup> SummarizeRefusals(
    const std::vector<LogRecord>& records,
    const TimeRange& span);

std::string RefusalText(const std::vector<RefusalGroup>& groups);
boost::json::value RefusalJson(const std::vector<RefusalGroup>& groups);

}  // namespace jackdaw::logread
