#include "core/clock.h"

namespace jackdaw {

MonotonicClock::MonotonicClock()
    : wall_origin_(std::chrono::time_point_cast<Micros>(
          std::chrono::system_clock::now())),
      steady_origin_(std::chrono::steady_clock::now()) {}

Instant MonotonicClock::Now() const {
  return wall_origin_ + std::chrono::duration_cast<Micros>(
                            std::chrono::steady_clock::now() - steady_origin_);
}

}  // namespace jackdaw
