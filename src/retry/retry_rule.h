#pragma once

#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// Targets tried for one request.
inline constexpr int kMaxAttempts = 3;
/// Least time before the deadline for which another attempt is of use.
inline constexpr Micros kMinAttemptTime = 50ms;

/// An attempt that failed, and the promise of its route.
struct FailedAttempt {
  bool idempotent = false;
  /// Whether any byte of the request may have reached the target.
  bool bytes_sent = true;
  /// Attempts made so far, the failed one included.
  int attempts = 0;
  /// Deadline of the request, stored at its admission.
  Instant deadline{};
};

/// Why a request is not sent again.
enum class RetryDenial : std::uint8_t {
  kNone,
  kMayHaveRun,
  kAttemptsExhausted,
  kDeadline,
};

/// Decides whether the class of the route and the deadline allow another
/// attempt; the budget is asked besides.
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
