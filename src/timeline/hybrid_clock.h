#pragma once

#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// Hybrid logical clock stamp: milliseconds since the Unix epoch in the upper
/// 48 bits, a counter in the lower 16. Stamps of causally ordered events
/// compare in that order.
using HybridTimestamp = std::uint64_t;

inline constexpr int kHybridCounterBits = 16;

/// Milliseconds since the Unix epoch of a stamp.
constexpr std::int64_t TimestampMillis(HybridTimestamp stamp) {
  return static_cast<std::int64_t>(stamp >> kHybridCounterBits);
}

/// Clock that joins physical time with the stamps seen on messages.
class HybridClock {
 public:
  /// Stamp for a local event or an outgoing message.
  HybridTimestamp Next(Instant now) {
    const HybridTimestamp physical = static_cast<HybridTimestamp>(ToMillis(now))
                                     << kHybridCounterBits;
    last_ = physical > last_ ? physical : last_ + 1;
    return last_;
  }

  /// Takes in the stamp of a received message.
  void Observe(HybridTimestamp remote) {
    last_ = remote > last_ ? remote : last_;
  }

 private:
  HybridTimestamp last_ = 0;
};

}  // namespace jackdaw
