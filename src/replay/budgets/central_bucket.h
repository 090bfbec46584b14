#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// One bucket for a whole workspace, seen from outside all instances: counts
/// how far what was spent exceeds the rate and burst.
class CentralBucket {
 public:
  CentralBucket(std::int64_t rate, std::int64_t burst, Instant now)
      : rate_(rate), burst_(burst), level_(burst * kMicro), at_(now) {}

  bool Has(Instant now, std::int64_t tokens) {
    Fill(now);
    return level_ >= tokens * kMicro;
  }
  /// Takes tokens. @returns those that were not there
  std::int64_t Spend(Instant now, std::int64_t tokens) {
    Fill(now);
    level_ -= tokens * kMicro;
    const std::int64_t missing = std::max<std::int64_t>(0, -level_);
    level_ += missing;
    return (missing + kMicro - 1) / kMicro;
  }
  void Refund(Instant now, std::int64_t tokens) {
    Fill(now);
    level_ = std::min(burst_ * kMicro, level_ + tokens * kMicro);
  }
  void Resize(Instant now, std::int64_t rate, std::int64_t burst) {
    Fill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst_ * kMicro);
  }

 private:
  static constexpr std::int64_t kMicro = 1'000'000;

  void Fill(Instant now) {
    level_ = std::min(burst_ * kMicro, level_ + rate_ * (now - at_).count());
    at_ = now;
  }

  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t level_;
  Instant at_;
};

}  // namespace jackdaw
