#pragma once

#include <algorithm>
#include <cstdint>

#include "core/invariant.h"
#include "core/time.h"

namespace jackdaw {

/// Token bucket that counts in integral micro-tokens, so that rounding creates
/// no tokens.
class TokenBucket {
 public:
  TokenBucket() = default;
  /// @param rate tokens per second @param burst capacity in tokens
  TokenBucket(std::int64_t rate, std::int64_t burst, Instant now)
      : rate_(rate), burst_(burst), level_(burst * kMicro), refilled_at_(now) {}

  /// Takes tokens. @returns false, and takes none, if there are too few
  bool TrySpend(Instant now, std::int64_t tokens) {
    Refill(now);
    if (level_ < tokens * kMicro) {
      return false;
    }
    level_ -= tokens * kMicro;
    CheckInvariant(level_ >= 0, "bucket level is never negative");
    return true;
  }

  /// Credits tokens that were charged and not used, up to the burst.
  void Refund(Instant now, std::int64_t tokens) {
    Refill(now);
    level_ = std::min(burst_ * kMicro, level_ + tokens * kMicro);
  }

  /// Returns the earliest time at which `tokens` can be spent if nothing else
  /// is spent until then; Instant::max() if they exceed the burst or the rate
  /// is 0.
  Instant ReadyAt(Instant now, std::int64_t tokens) {
    Refill(now);
    if (tokens > burst_ || rate_ == 0) {
      return Instant::max();
    }
    const std::int64_t missing =
        std::max<std::int64_t>(0, tokens * kMicro - level_);
    return now + Micros((missing + rate_ - 1) / rate_);
  }

  /// Changes rate and burst. A level above the new burst is cut to it.
  void Resize(Instant now, std::int64_t rate, std::int64_t burst) {
    Refill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst_ * kMicro);
  }

  std::int64_t rate() const { return rate_; }
  std::int64_t burst() const { return burst_; }
  /// Returns the whole tokens in the bucket.
  std::int64_t Level(Instant now) {
    Refill(now);
    return level_ / kMicro;
  }

 private:
  // Micro-tokens per token.
  static constexpr std::int64_t kMicro = 1'000'000;

  // Adds the tokens accrued since the last call. At a rate of one token per
  // second, one micro-token accrues per microsecond.
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
  // In micro-tokens.
  std::int64_t level_ = 0;
  Instant refilled_at_{};
};

}  // namespace jackdaw
