#include "gateway/pacing.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Reading that an engine may have before it: less than the pause between two
// events that callers accept.
constexpr Micros kMaxPrefillQueue = 190ms;
// Reading up to which a patient request goes along.
constexpr Micros kMaxDeferrablePrefillQueue = 70ms;
// How far ahead a place in the engine's queue is taken.
constexpr Micros kMaxReservationAhead = 200ms;
// DecidePacing at which a request that waits looks again.
constexpr Micros kRecheckInterval = 30ms;
// Time for the way to the engine and back, and for the first token.
constexpr Micros kFirstTokenOverhead = 60ms;

}  // namespace

PacingDecision DecidePacing(const PacingInput& input) {
  const Micros queue_delay =
      std::max(Micros(0), Micros(input.prefill_until - input.now)) +
      input.slot_time * input.requests_beyond_slots;
  const Micros time_to_first_byte =
      queue_delay + input.own_prefill + kFirstTokenOverhead;
  const Micros excess = queue_delay + input.own_prefill - kMaxPrefillQueue;
  const Instant expected = input.now + time_to_first_byte;
  if (expected > input.first_byte_deadline && excess > 0us) {
    return {PacingAction::kReject,
            input.now + std::max(excess, kRecheckInterval)};
  }
  const bool has_time = input.first_byte_deadline - expected >
                        kRecheckInterval + kMaxPrefillQueue;
  if (input.deferrable && queue_delay > kMaxDeferrablePrefillQueue &&
      has_time) {
    return {PacingAction::kRecheck, input.now + kRecheckInterval};
  }
  // A prompt that is long by itself goes as soon as nothing is before it.
  const Micros delay = std::min(excess, queue_delay);
  // A place far ahead would keep out those that have less time.
  if (delay > kMaxReservationAhead && has_time) {
    return {PacingAction::kRecheck, input.now + kRecheckInterval};
  }
  if (delay > 0us) {
    return {PacingAction::kSendLater, input.now + delay};
  }
  return {PacingAction::kSend, input.now};
}

}  // namespace jackdaw::serving
