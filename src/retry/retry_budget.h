#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "core/time.h"

namespace jackdaw {

/// Parameters of a retry budget, in thousandths of a retry.
struct RetryRates {
  std::int64_t per_first_attempt = 100;
  std::int64_t per_second = 500;
  std::int64_t capacity = 10'000;
};

/// Token bucket of retries. Each first attempt adds a fraction of a retry, each
/// retry spends one, and a slow refill lets callers with few requests retry
/// too. A bucket starts full.
class RetryBucket {
 public:
  explicit RetryBucket(const RetryRates& rates)
      : rates_(rates), balance_(rates.capacity) {}

  void OnFirstAttempt(Instant now) {
    Refill(now);
    balance_ = std::min(rates_.capacity, balance_ + rates_.per_first_attempt);
  }
  bool CanRetry(Instant now) {
    Refill(now);
    return balance_ >= kRetryCost;
  }
  void Spend() { balance_ -= kRetryCost; }

 private:
  // Cost of a retry, in thousandths.
  static constexpr std::int64_t kRetryCost = 1000;

  void Refill(Instant now) {
    if (now <= filled_at_) {
      return;
    }
    // Bounds the product below.
    const Micros max_refill_time = 3600s;
    const Micros span = std::min(max_refill_time, Micros(now - filled_at_));
    const std::int64_t added = span.count() * rates_.per_second / 1'000'000;
    if (added > 0) {
      balance_ = std::min(rates_.capacity, balance_ + added);
      filled_at_ = now;
    }
  }

  RetryRates rates_;
  std::int64_t balance_;
  Instant filled_at_{};
};

/// Limits the retries of each workspace, and those sent to each target, to a
/// fraction of the first attempts, so that failures cannot multiply the load.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryRates& rates = {}) : rates_(rates) {}

  /// Removes the buckets of targets and workspaces that are no longer
  /// configured.
  void OnConfig(const FleetConfig& config);
  void OnFirstAttempt(Instant now,
                      std::string_view workspace,
                      std::string_view target);
  /// Spends one retry of the workspace and one of the target. @returns false,
  /// and spends nothing, if either has none left
  bool TryRetry(Instant now,
                std::string_view workspace,
                std::string_view target);

 private:
  using Buckets = std::map<std::string, RetryBucket, std::less<>>;

  RetryBucket& BucketFor(Buckets& buckets, std::string_view name) const;

  RetryRates rates_;
  Buckets workspaces_;
  Buckets targets_;
};

}  // namespace jackdaw
