#pragma once

#include "core/time.h"

namespace jackdaw {

/// Monotonic clock whose origin is the wall clock at construction, so that a
/// step of the wall clock never moves a stored deadline.
class MonotonicClock {
 public:
  MonotonicClock();

  /// Current moment.
  /// @returns microseconds since the Unix epoch, never decreasing
  Instant Now() const;

 private:
  Instant wall_origin_;
  std::chrono::steady_clock::time_point steady_origin_;
};

/// Monotonic clock that also counts the time for which the machine was
/// suspended, so that what lapsed meanwhile is seen as lapsed.
class BootClock {
 public:
  BootClock();

  /// Current moment.
  /// @returns microseconds since the Unix epoch, never decreasing
  Instant Now() const;

 private:
  Instant wall_origin_;
  Micros boot_origin_;
};

/// Clock moved by hand, for replay and tests.
class VirtualClock {
 public:
  explicit VirtualClock(Instant start) : now_(start) {}
  Instant Now() const { return now_; }
  /// Moves time forward. @param by non-negative span in microseconds
  void Advance(Micros by) { now_ += by; }

 private:
  Instant now_;
};

static_assert(ClockSource<MonotonicClock> && ClockSource<BootClock> &&
              ClockSource<VirtualClock>);

}  // namespace jackdaw
