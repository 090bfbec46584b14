#include "gateway/pacing.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Longest prefill queue of an engine, as time. It is below the pause between
// two events that callers accept.
constexpr Micros kMaxPrefillQueue = 190ms;
// Longest prefill queue to which a deferrable request is added.
constexpr Micros kMaxDeferrableQueue = 70ms;
// Longest time by which a place in the prefill queue is reserved in advance.
constexpr Micros kMaxReservationAhead = 200ms;
// Interval at which the decision on a waiting request is repeated.
constexpr Micros kRecheckInterval = 30ms;
// Network round trip to the engine and generation of the first token.
constexpr Micros kFirstTokenOverhead = 60ms;

}  // namespace

PacingDecision DecidePacing(const PacingInput& input) {
  const Micros queue_delay =
      std::max(Micros(0), Micros(input.prefill_until - input.now)) +
      input.slot_time * input.excess_requests;
  const Micros time_to_first_byte =
      queue_delay + input.own_prefill + kFirstTokenOverhead;
  const Micros excess = queue_delay + input.own_prefill - kMaxPrefillQueue;
  const Instant expected = input.now + time_to_first_byte;
  if (expected > input.first_byte_deadline && excess > 0us) {
    return {PacingAction::kReject,
            input.now + std::max(excess, kRecheckInterval)};
  }
  // There is time for one more recheck and a full prefill queue.
  const bool has_time = input.first_byte_deadline - expected >
                        kRecheckInterval + kMaxPrefillQueue;
  if (input.deferrable && queue_delay > kMaxDeferrableQueue && has_time) {
    return {PacingAction::kRecheck, input.now + kRecheckInterval};
  }
  // A prompt that exceeds the limit by itself is sent when the queue is empty.
  const Micros delay = std::min(excess, queue_delay);
  // A place reserved far in advance would delay requests with less time.
  if (delay > kMaxReservationAhead && has_time) {
    return {PacingAction::kRecheck, input.now + kRecheckInterval};
  }
  if (delay > 0us) {
    return {PacingAction::kSendLater, input.now + delay};
  }
  return {PacingAction::kSend, input.now};
}

}  // namespace jackdaw::serving
