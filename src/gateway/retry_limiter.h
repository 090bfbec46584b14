#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"

namespace jackdaw::serving {

/// Bounds on second sends over the fleet.
struct RetryLimits {
  /// Second sends allowed for each request to a service.
  double ratio = 0.2;
  /// Second sends allowed besides in each window, over all instances.
  double extra = 0;
  Micros window = 10s;
};

/// This instance's part of the fleet's retry budget: the ratio of its own
/// requests, and an even part of the extra. It needs no message.
class RetryLimiter {
 public:
  explicit RetryLimiter(const RetryLimits& limits) : limits_(limits) {}

  /// @param instances number of instances that share the extra
  void SetInstances(int instances) { instances_ = std::max(1, instances); }
  /// A caller's request for a service came in.
  void OnRequest(std::string_view service, Instant now);
  /// Takes one second send. @returns false where the budget is spent
  bool TryRetry(std::string_view service, Instant now);
  /// Second sends that found the budget spent, since the start.
  std::uint64_t denied() const { return denied_; }

 private:
  // The window is counted in slices, so that it slides in small steps.
  static constexpr std::size_t kSlices = 24;

  struct ServiceCounts {
    std::array<int, kSlices> requests{};
    std::array<int, kSlices> retries{};
    std::int64_t slice = 0;
  };

  ServiceCounts& CountsAt(std::string_view service, Instant now);

  RetryLimits limits_;
  std::uint64_t denied_ = 0;
  int instances_ = 1;
  std::unordered_map<std::string, ServiceCounts> services_;
};

}  // namespace jackdaw::serving
