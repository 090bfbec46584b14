#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"

namespace jackdaw::serving {

/// Limits of retries over the whole fleet.
struct RetryLimits {
  /// Retries allowed per request to a service.
  double ratio = 0.2;
  /// Retries allowed in addition per window and service, over all instances.
  double extra = 0;
  Micros window = 10s;
};

/// This instance's share of the fleet's retry budget: the ratio of its own
/// requests plus an equal share of the extra retries. The instances need not
/// exchange messages for it.
///
/// The extra retries are shared with the instances of the last window: an
/// instance that has ended may have used its share, and so may an earlier
/// process of this instance. A new process therefore begins with none of them.
class RetryLimiter {
 public:
  /// @param started_at start of the process
  RetryLimiter(const RetryLimits& limits, Instant started_at)
      : limits_(limits), extra_from_(started_at + limits.window) {}

  /// @param instances number of instances that share the extra retries
  void SetInstances(int instances, Instant now);
  /// Counts a caller's request for a service.
  void OnRequest(std::string_view service, Instant now);
  /// Takes one retry from the budget. @returns false if the budget is spent
  bool TryRetry(std::string_view service, Instant now);
  /// Retries denied since the start because the budget was spent.
  std::uint64_t denied() const { return denied_; }

 private:
  // The sliding window is divided into slices, so that it moves in small steps.
  static constexpr std::size_t kSlices = 24;

  struct ServiceCounts {
    std::array<int, kSlices> requests{};
    std::array<int, kSlices> retries{};
    std::int64_t slice = 0;
  };

  ServiceCounts& CountsAt(std::string_view service, Instant now);
  double ExtraShare(Instant now);

  RetryLimits limits_;
  std::uint64_t denied_ = 0;
  /// Start of the use of the extra retries.
  Instant extra_from_{};
  /// Largest number of instances within the last window.
  int instances_ = 1;
  /// Smaller number that takes effect at `fewer_from_`; 0 if there is none.
  int fewer_instances_ = 0;
  Instant fewer_from_{};
  std::unordered_map<std::string, ServiceCounts> services_;
};

}  // namespace jackdaw::serving
