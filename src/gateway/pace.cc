#include "gateway/pace.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Reading that an engine may have before it: less than the pause between two
// events that callers accept.
constexpr Micros kMostReading = 190ms;
// Reading up to which a patient request goes along.
constexpr Micros kPatientReading = 70ms;
// How far ahead a place in the engine's queue is taken.
constexpr Micros kHorizon = 200ms;
// Pace at which a request that waits looks again.
constexpr Micros kLook = 30ms;
// Time for the way to the engine and back, and for the first token.
constexpr Micros kOverhead = 60ms;

}  // namespace

PaceDecision Pace(const PaceInput& input) {
  const Micros reading =
      std::max(Micros(0), Micros(input.reading_until - input.now)) +
      input.place_time * input.beyond_places;
  const Micros first_byte = reading + input.own_reading + kOverhead;
  const Micros excess = reading + input.own_reading - kMostReading;
  const Instant expected = input.now + first_byte;
  if (expected > input.on_time_until && excess > 0us) {
    return {PaceStep::kRefuse, input.now + std::max(excess, kLook)};
  }
  const bool has_time = input.on_time_until - expected > kLook + kMostReading;
  if (input.patient && reading > kPatientReading && has_time) {
    return {PaceStep::kWait, input.now + kLook};
  }
  // A prompt that is long by itself goes as soon as nothing is before it.
  const Micros delay = std::min(excess, reading);
  // A place far ahead would keep out those that have less time.
  if (delay > kHorizon && has_time) {
    return {PaceStep::kWait, input.now + kLook};
  }
  if (delay > 0us) {
    return {PaceStep::kSendLater, input.now + delay};
  }
  return {PaceStep::kSend, input.now};
}

}  // namespace jackdaw::serving
