#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "core/time.h"

namespace jackdaw {

/// Rates of a retry budget, in thousandths of a retry.
struct RetryRates {
  std::int64_t per_first_attempt = 100;
  std::int64_t per_second = 500;
  std::int64_t most = 10'000;
};

/// Retries that may be spent: each first attempt adds a fraction of one, each
/// retry takes one, and a trickle lets quiet callers retry too.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryRates& rates)
      : rates_(rates), held_(rates.most) {}

  void OnFirstAttempt(Instant now) {
    Refill(now);
    held_ = std::min(rates_.most, held_ + rates_.per_first_attempt);
  }
  bool Has(Instant now) {
    Refill(now);
    return held_ >= kRetry;
  }
  void Take() { held_ -= kRetry; }

 private:
  static constexpr std::int64_t kRetry = 1000;

  void Refill(Instant now) {
    if (now <= filled_at_) {
      return;
    }
    const Micros longest = 3600s;
    const Micros span = std::min(longest, Micros(now - filled_at_));
    const std::int64_t added = span.count() * rates_.per_second / 1'000'000;
    if (added > 0) {
      held_ = std::min(rates_.most, held_ + added);
      filled_at_ = now;
    }
  }

  RetryRates rates_;
  std::int64_t held_;
  Instant filled_at_{};
};

/// Holds the retries of each workspace, and those sent to each target, to a
/// fraction of the first attempts, so that failures cannot multiply the load.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryRates& rates = {}) : rates_(rates) {}

  /// Drops targets and workspaces that are no longer configured.
  void OnConfig(const FleetConfig& config);
  void OnFirstAttempt(Instant now,
                      std::string_view workspace,
                      std::string_view target);
  /// Takes one retry from both budgets. @returns false, and takes nothing,
  /// where either is spent
  bool TryRetry(Instant now,
                std::string_view workspace,
                std::string_view target);

 private:
  using Allowances = std::map<std::string, RetryAllowance, std::less<>>;

  RetryAllowance& Of(Allowances& all, std::string_view name) const;

  RetryRates rates_;
  Allowances workspaces_;
  Allowances targets_;
};

}  // namespace jackdaw
