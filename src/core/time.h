#pragma once

#include <chrono>
#include <cstdint>

namespace jackdaw {

/// Span of time in microseconds; the resolution of every decision.
using Micros = std::chrono::microseconds;

/// A moment, in microseconds since the Unix epoch. Deadlines are stored as
/// Instants; durations appear only where a deadline is computed.
using Instant = std::chrono::sys_time<Micros>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Source of `now` for code that runs outside the pure decision types.
template <typename T>
concept ClockSource = requires(T clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

/// Milliseconds since the Unix epoch of a moment.
constexpr std::int64_t ToMillis(Instant t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             t.time_since_epoch())
      .count();
}

}  // namespace jackdaw
