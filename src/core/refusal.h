#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// Why a request was turned away or ended without its answer.
enum class RefusalKind : std::uint8_t {
  kMalformedRequest,
  kBodyTooLarge,
  kMissingKey,
  kUnknownKey,
  kWithdrawnKey,
  kUnknownModel,
  kUnknownRoute,
  kOverRate,
  kOverBurst,
  kQueueFull,
  kDeadlineExceeded,
  kNoTarget,
  kTargetFailed,
  kQuarantined,
  kLeaving,
  kNotReady,
  kStoreUnavailable,
  kOutcomeUnknown,
  kIdempotencyConflict,
  kOverloaded,
  kStaleView,
  kInternal,
};

inline constexpr int kRefusalKinds =
    static_cast<int>(RefusalKind::kInternal) + 1;

/// Whether the request may have run at a target. kNo is said only when no
/// byte of it reached one, or the target proved that it did not run.
enum class Ran : std::uint8_t { kNo, kUnknown };

/// Fixed properties of a refusal kind.
struct RefusalTraits {
  RefusalKind kind;
  std::string_view name;
  int http_status;
  std::string_view remedy;
};

const RefusalTraits& TraitsOf(RefusalKind kind);
std::string_view Name(Ran ran);

/// A refusal as decided; `retry_at` is the epoch where waiting does not help.
struct Refusal {
  RefusalKind kind = RefusalKind::kInternal;
  Ran ran = Ran::kUnknown;
  std::string reason;
  Instant retry_at{};
};

}  // namespace jackdaw
