#pragma once

#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// Maximum number of attempts per request.
inline constexpr int kMaxAttempts = 3;
/// Minimum time before the deadline for another attempt to be useful.
inline constexpr Micros kMinAttemptTime = 50ms;

/// A failed attempt, with what decides whether its request may be retried.
struct FailedAttempt {
  /// Whether the route allows the request to run more than once.
  bool idempotent = false;
  /// Whether any byte of the request may have reached the target.
  bool bytes_sent = true;
  /// Attempts made so far, including the failed one.
  int attempts = 0;
  /// Deadline of the request, set at its admission.
  Instant deadline{};
};

/// Reason why a request is not retried.
enum class RetryDenial : std::uint8_t {
  kNone,
  kMayHaveRun,
  kAttemptsExhausted,
  kDeadline,
};

/// Decides whether another attempt is allowed: the request must not run twice
/// unless it is idempotent, and attempts and time must be left. The retry
/// budget is checked separately.
/// @returns kNone where another attempt is allowed
constexpr RetryDenial CheckRetry(Instant now, const FailedAttempt& failed) {
  if (failed.bytes_sent && !failed.idempotent) {
    return RetryDenial::kMayHaveRun;
  }
  if (failed.attempts >= kMaxAttempts) {
    return RetryDenial::kAttemptsExhausted;
  }
  return now + kMinAttemptTime >= failed.deadline ? RetryDenial::kDeadline
                                                  : RetryDenial::kNone;
}

static_assert(CheckRetry(Instant{}, {false, true, 1, Instant::max()}) ==
              RetryDenial::kMayHaveRun);
static_assert(CheckRetry(Instant{}, {false, false, 1, Instant::max()}) ==
              RetryDenial::kNone);

}  // namespace jackdaw
