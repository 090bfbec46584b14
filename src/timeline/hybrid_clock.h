#pragma once

#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// Hybrid logical clock timestamp: milliseconds since the Unix epoch in the
/// upper 48 bits and a counter in the lower 16. The timestamps of causally
/// ordered events compare in causal order.
using HybridTimestamp = std::uint64_t;

inline constexpr int kHybridCounterBits = 16;

/// Returns the milliseconds since the Unix epoch of a timestamp.
constexpr std::int64_t TimestampMillis(HybridTimestamp stamp) {
  return static_cast<std::int64_t>(stamp >> kHybridCounterBits);
}

/// Clock that combines physical time with the timestamps of received messages.
class HybridClock {
 public:
  /// Returns the timestamp for a local event or an outgoing message.
  HybridTimestamp Next(Instant now) {
    const HybridTimestamp physical = static_cast<HybridTimestamp>(ToMillis(now))
                                     << kHybridCounterBits;
    last_ = physical > last_ ? physical : last_ + 1;
    return last_;
  }

  /// Advances the clock to at least the timestamp of a received message.
  void Observe(HybridTimestamp remote) {
    last_ = remote > last_ ? remote : last_;
  }

 private:
  HybridTimestamp last_ = 0;
};

}  // namespace jackdaw
