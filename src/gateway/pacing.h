#pragma once

#include "core/time.h"

namespace jackdaw::serving {

/// What to do with a request for which an engine was chosen.
enum class PacingAction : std::uint8_t {
  /// Send it now.
  kSend,
  /// Reserve its place in the engine's prefill queue now and send it at `at`.
  kSendLater,
  /// Decide again at `at`, so that more urgent requests are sent first.
  kRecheck,
  /// Reject it, since it would be late and would exceed the limit of the
  /// prefill
  /// queue. The caller may retry at `at`.
  kReject,
};

/// Input of the decision on one request.
struct PacingInput {
  Instant now{};
  /// Estimated time at which the engine ends the prefill of the prompts sent so
  /// far.
  Instant prefill_until{};
  /// Estimated prefill time of this request's prompt.
  Micros own_prefill{};
  /// Time by which the first byte is on time.
  Instant first_byte_deadline{};
  /// The request may wait while more urgent ones are sent.
  bool deferrable = false;
  /// Requests, this one included, above the number of the engine's slots.
  int excess_requests = 0;
  /// Estimated mean interval at which slots of the engine become free.
  Micros slot_time{};
};

struct PacingDecision {
  PacingAction action = PacingAction::kSend;
  Instant at{};
};

/// Decides when a request is sent to its engine. An engine processes prompts
/// between the decode steps of running streams, so many queued prompts pause
/// all its streams. The prefill queue is therefore limited to what the engine
/// can process within a pause that callers accept. A request that would be late
/// because of this limit is rejected at once, with a time at which it may be
/// retried.
PacingDecision DecidePacing(const PacingInput& input);

}  // namespace jackdaw::serving
