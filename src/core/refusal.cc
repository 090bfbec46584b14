#include "core/refusal.h"

#include <array>

namespace jackdaw {
namespace {

using Kind = RefusalKind;

constexpr std::array kTraits{
    RefusalTraits{Kind::kMalformedRequest, "malformed-request", 400,
                  "correct the request"},
    RefusalTraits{Kind::kBodyTooLarge, "body-too-large", 413,
                  "send a smaller body"},
    RefusalTraits{Kind::kMissingKey, "missing-key", 401,
                  "send the key as Authorization: Bearer"},
    RefusalTraits{Kind::kUnknownKey, "unknown-key", 401,
                  "ask the operator for a valid key"},
    RefusalTraits{Kind::kWithdrawnKey, "withdrawn-key", 401,
                  "ask the operator for a new key"},
    RefusalTraits{Kind::kUnknownModel, "unknown-model", 404,
                  "pick a model from GET /v1/models"},
    RefusalTraits{Kind::kUnknownRoute, "unknown-route", 404,
                  "check the path and the service name"},
    RefusalTraits{Kind::kOverRate, "over-rate", 429,
                  "wait until Retry-After, or ask for a higher rate"},
    RefusalTraits{Kind::kOverBurst, "over-burst", 429,
                  "ask for fewer tokens, or for a higher burst"},
    RefusalTraits{Kind::kQueueFull, "queue-full", 429,
                  "wait until Retry-After"},
    RefusalTraits{Kind::kDeadlineExceeded, "deadline-exceeded", 504,
                  "send again after Retry-After"},
    RefusalTraits{Kind::kNoTarget, "no-target", 503,
                  "wait until Retry-After; operators: check the targets"},
    RefusalTraits{Kind::kTargetFailed, "target-failed", 502,
                  "send again if the call may run twice"},
    RefusalTraits{Kind::kQuarantined, "quarantined", 422,
                  "change the request: it ended each target that ran it"},
    RefusalTraits{Kind::kLeaving, "leaving", 503,
                  "ask GET /v1/entry for another address"},
    RefusalTraits{Kind::kNotReady, "not-ready", 503,
                  "ask GET /v1/entry for another address"},
    RefusalTraits{Kind::kStoreUnavailable, "store-unavailable", 503,
                  "wait until Retry-After"},
    RefusalTraits{Kind::kOutcomeUnknown, "outcome-unknown", 502,
                  "look the outcome up at the service before sending again"},
    RefusalTraits{Kind::kIdempotencyConflict, "idempotency-conflict", 422,
                  "use a new Idempotency-Key for a different request"},
    RefusalTraits{Kind::kOverloaded, "overloaded", 503,
                  "wait until Retry-After"},
    RefusalTraits{Kind::kStaleView, "stale-view", 503,
                  "wait until Retry-After, or ask GET /v1/entry for another "
                  "address; operators: see why the instance stood still"},
    RefusalTraits{Kind::kInternal, "internal", 500,
                  "report the request id to the operator"},
};

constexpr bool RowsFollowEnum() {
  for (std::size_t i = 0; i < kTraits.size(); ++i) {
    if (static_cast<std::size_t>(kTraits[i].kind) != i) {
      return false;
    }
  }
  return kTraits.size() == kRefusalKinds;
}
static_assert(RowsFollowEnum());

}  // namespace

const RefusalTraits& TraitsOf(RefusalKind kind) {
  return kTraits[static_cast<std::size_t>(kind)];
}

std::string_view Name(Ran ran) {
  return ran == Ran::kNo ? "no" : "unknown";
}

}  // namespace jackdaw
