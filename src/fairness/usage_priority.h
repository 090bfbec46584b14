#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// Priorities for engines' own queues, from what each workspace used lately
/// against its rate. Lower runs first.
class UsagePriority {
 public:
  /// Priority of a workspace that stays within its rate.
  static constexpr std::int32_t kWithinRate = 0;
  static constexpr std::int32_t kLowest = 4;

  /// Counts a request. @param tokens its cost @param rate tokens a second that
  /// the workspace may use here, above 0
  /// @returns the priority for this request
  std::int32_t OnRequest(Instant now,
                         std::string_view workspace,
                         std::int64_t tokens,
                         std::int64_t rate) {
    Use& use = UseOf(workspace);
    const double passed =
        static_cast<double>(std::max(Micros(0), now - use.at).count()) / 1e6;
    use.tokens = use.tokens * std::exp(-passed / kWindowSeconds) +
                 static_cast<double>(tokens);
    use.at = now;
    const double parts =
        use.tokens /
        (kWindowSeconds * static_cast<double>(std::max<std::int64_t>(1, rate)));
    return parts <= kSlack
               ? kWithinRate
               : std::min(kLowest, static_cast<std::int32_t>(parts / kSlack));
  }

 private:
  // Time over which use is averaged, in seconds, and the multiple of the rate
  // that still counts as within it.
  static constexpr double kWindowSeconds = 5;
  static constexpr double kSlack = 1.5;

  struct Use {
    double tokens = 0;
    Instant at{};
  };

  Use& UseOf(std::string_view workspace) {
    const auto found = uses_.find(workspace);
    return found != uses_.end()
               ? found->second
               : uses_.emplace(std::string(workspace), Use{}).first->second;
  }

  std::map<std::string, Use, std::less<>> uses_;
};

}  // namespace jackdaw
