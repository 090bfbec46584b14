#pragma once

#include <algorithm>
#include <cstdint>

#include "core/invariant.h"
#include "core/time.h"

namespace jackdaw {

/// Token bucket in whole micro-tokens, so that no rounding creates tokens.
class TokenBucket {
 public:
  TokenBucket() = default;
  /// @param rate tokens per second @param burst most tokens held
  TokenBucket(std::int64_t rate, std::int64_t burst, Instant now)
      : rate_(rate), burst_(burst), level_(burst * kMicro), refilled_at_(now) {}

  /// Takes tokens. @returns false, and takes none, when too few are there
  bool TrySpend(Instant now, std::int64_t tokens) {
    Refill(now);
    if (level_ < tokens * kMicro) {
      return false;
    }
    level_ -= tokens * kMicro;
    CheckInvariant(level_ >= 0, "bucket level is never negative");
    return true;
  }

  /// Gives back tokens that were charged and not used.
  void Refund(Instant now, std::int64_t tokens) {
    Refill(now);
    level_ = std::min(burst_ * kMicro, level_ + tokens * kMicro);
  }

  /// Earliest moment at which `tokens` may be spent if nothing else is.
  /// @returns Instant::max() when they exceed the burst
  Instant ReadyAt(Instant now, std::int64_t tokens) {
    Refill(now);
    if (tokens > burst_ || rate_ == 0) {
      return Instant::max();
    }
    const std::int64_t missing =
        std::max<std::int64_t>(0, tokens * kMicro - level_);
    return now + Micros((missing + rate_ - 1) / rate_);
  }

  /// Changes rate and burst; the level keeps to the smaller bound.
  void Resize(Instant now, std::int64_t rate, std::int64_t burst) {
    Refill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst_ * kMicro);
  }

  std::int64_t rate() const { return rate_; }
  std::int64_t burst() const { return burst_; }
  /// Whole tokens held now.
  std::int64_t Level(Instant now) {
    Refill(now);
    return level_ / kMicro;
  }

 private:
  static constexpr std::int64_t kMicro = 1'000'000;

  // Adds what has accrued; at one token per second each microsecond brings
  // one micro-token.
  void Refill(Instant now) {
    if (now <= refilled_at_) {
      return;
    }
    const std::int64_t room = burst_ * kMicro - level_;
    const std::int64_t elapsed = (now - refilled_at_).count();
    refilled_at_ = now;
    if (rate_ > 0 && elapsed > room / rate_) {
      level_ = burst_ * kMicro;
    } else {
      level_ += elapsed * rate_;
    }
  }

  std::int64_t rate_ = 0;
  std::int64_t burst_ = 0;
  std::int64_t level_ = 0;
  Instant refilled_at_{};
};

}  // namespace jackdaw
