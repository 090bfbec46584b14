#include "core/clock.h"

#include <ctime>

namespace jackdaw {
namespace {

Micros SinceBoot() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Micros>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace

MonotonicClock::MonotonicClock()
    : wall_origin_(std::chrono::time_point_cast<Micros>(
          std::chrono::system_clock::now())),
      steady_origin_(std::chrono::steady_clock::now()) {}

Instant MonotonicClock::Now() const {
  return wall_origin_ + std::chrono::duration_cast<Micros>(
                            std::chrono::steady_clock::now() - steady_origin_);
}

BootClock::BootClock()
    : wall_origin_(std::chrono::time_point_cast<Micros>(
          std::chrono::system_clock::now())),
      boot_origin_(SinceBoot()) {}

Instant BootClock::Now() const {
  return wall_origin_ + (SinceBoot() - boot_origin_);
}

}  // namespace jackdaw
