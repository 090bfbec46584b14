#pragma once

#include "core/time.h"

namespace jackdaw::serving {

/// When a request goes to the model engine that was chosen for it.
enum class PacingAction : std::uint8_t {
  /// Now.
  kSend,
  /// At `at`; its place in the engine's queue is taken now.
  kSendLater,
  /// It is looked at again at `at`; more urgent ones go first.
  kRecheck,
  /// It cannot be on time; the caller may come back at `at`.
  kReject,
};

/// What decides on the pace of one request.
struct PacingInput {
  Instant now{};
  /// Moment until which the engine reads prompts that it has been sent.
  Instant prefill_until{};
  /// Time to read this request's prompt.
  Micros own_prefill{};
  /// Latest moment of the first byte that is on time.
  Instant first_byte_deadline{};
  /// The request's objective leaves time to let others go first.
  bool deferrable = false;
  /// Requests beyond the engine's places.
  int requests_beyond_slots = 0;
  /// Time in which a place of the engine is likely to come free.
  Micros slot_time{};
};

struct PacingDecision {
  PacingAction step = PacingAction::kSend;
  Instant at{};
};

/// Spreads prompts in time. An engine reads prompts between the tokens of
/// running streams, so a pile of prompts makes all its streams pause; it is
/// given no more than it reads within a pause that callers accept. What would
/// be late by then is refused at once, with the moment at which it would not.
PacingDecision DecidePacing(const PacingInput& input);

}  // namespace jackdaw::serving
