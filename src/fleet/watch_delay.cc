#include "fleet/watch_delay.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

constexpr Micros kLeaderBatchDelay = 100ms;
constexpr Micros kFollowerBatchDelay = 400ms;
constexpr Micros kFollowerBatchJitter = 200ms;
// The delay after a failure grows by the step with each failure in a row, up to
// the maximum. The jitter separates instances whose calls failed together.
constexpr Micros kBackoffStep = 60ms;
constexpr Micros kMaxBackoff = 400ms;
constexpr double kBackoffJitter = 0.25;

Micros Share(Micros span, double unit) {
  return Micros(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * unit));
}

}  // namespace

Micros DelayOfFirstCall(bool leads, Micros spread, double unit) {
  return leads ? Micros(0) : Share(spread, unit);
}

Micros DelayAfterChanges(bool leads, double unit) {
  return leads ? kLeaderBatchDelay
               : kFollowerBatchDelay + Share(kFollowerBatchJitter, unit);
}

Micros DelayAfterFailure(int failures, double unit, Micros elapsed) {
  const Micros delay = std::min(kMaxBackoff, kBackoffStep * (1 + failures));
  return std::max(kBackoffStep,
                  delay + Share(delay, kBackoffJitter * unit) - elapsed);
}

}  // namespace jackdaw::serving
