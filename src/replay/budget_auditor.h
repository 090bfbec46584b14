#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// Central ideal bucket of each workspace, fed with every spend of the fleet:
/// tells overspend, and whether a refusal was wrongful.
class BudgetAuditor {
 public:
  void SetLimit(Instant now,
                std::string_view workspace,
                std::int64_t rate,
                std::int64_t burst) {
    buckets_[std::string(workspace)] = {static_cast<double>(rate),
                                        static_cast<double>(burst),
                                        static_cast<double>(burst), now};
  }

  /// Takes in a spend. @returns tokens above rate and burst
  std::int64_t OnSpend(Instant now,
                       std::string_view workspace,
                       std::int64_t tokens) {
    Bucket& bucket = Filled(now, workspace);
    bucket.level -= static_cast<double>(tokens);
    const double over = std::max(0.0, -bucket.level);
    bucket.level = std::max(0.0, bucket.level);
    return static_cast<std::int64_t>(over + kRounding);
  }

  void OnRefund(Instant now, std::string_view workspace, std::int64_t tokens) {
    Bucket& bucket = Filled(now, workspace);
    bucket.level =
        std::min(bucket.burst, bucket.level + static_cast<double>(tokens));
  }

  /// Whether the workspace as a whole could spend now.
  bool CouldSpend(Instant now,
                  std::string_view workspace,
                  std::int64_t tokens) {
    return Filled(now, workspace).level >= static_cast<double>(tokens);
  }

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    Instant filled_at{};
  };
  // Part of a token that floating-point sums may be off by.
  static constexpr double kRounding = 0.999;

  Bucket& Filled(Instant now, std::string_view workspace) {
    Bucket& bucket = buckets_[std::string(workspace)];
    const double seconds =
        static_cast<double>((now - bucket.filled_at).count()) / 1e6;
    bucket.level = std::min(bucket.burst, bucket.level + bucket.rate * seconds);
    bucket.filled_at = now;
    return bucket;
  }

  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace jackdaw
