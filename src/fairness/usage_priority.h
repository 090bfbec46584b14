#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// Computes priorities for the engines' own queues from the recent usage of
/// each workspace in relation to its rate. Lower runs first.
class UsagePriority {
 public:
  /// Priority of a workspace that uses at most kAllowedRateMultiple times its
  /// rate.
  static constexpr std::int32_t kWithinRate = 0;
  /// Priority of the workspaces that exceed their rate most, the largest value.
  static constexpr std::int32_t kLowest = 4;

  /// Counts a request. @param tokens its cost @param rate tokens per second
  /// that the workspace may use at this instance, above 0
  /// @returns the priority for this request
  std::int32_t OnRequest(Instant now,
                         std::string_view workspace,
                         std::int64_t tokens,
                         std::int64_t rate) {
    Usage& usage = UsageFor(workspace);
    const double elapsed_s =
        static_cast<double>(
            std::max(Micros(0), now - usage.updated_at).count()) /
        1e6;
    usage.tokens = usage.tokens * std::exp(-elapsed_s / kDecaySeconds) +
                   static_cast<double>(tokens);
    usage.updated_at = now;
    const double rate_multiple =
        usage.tokens /
        (kDecaySeconds * static_cast<double>(std::max<std::int64_t>(1, rate)));
    return rate_multiple <= kAllowedRateMultiple
               ? kWithinRate
               : std::min(kLowest, static_cast<std::int32_t>(
                                       rate_multiple / kAllowedRateMultiple));
  }

 private:
  // Time constant of the usage average, in seconds, and the multiple of the
  // rate that still counts as within it.
  static constexpr double kDecaySeconds = 5;
  static constexpr double kAllowedRateMultiple = 1.5;

  struct Usage {
    double tokens = 0;
    Instant updated_at{};
  };

  Usage& UsageFor(std::string_view workspace) {
    const auto found = usages_.find(workspace);
    return found != usages_.end()
               ? found->second
               : usages_.emplace(std::string(workspace), Usage{}).first->second;
  }

  std::map<std::string, Usage, std::less<>> usages_;
};

}  // namespace jackdaw
