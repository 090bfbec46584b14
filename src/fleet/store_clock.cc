#include "fleet/store_clock.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Time after which the offset is read anew, as clocks drift.
constexpr Micros kOffsetLifetime = 60s;

}  // namespace

void StoreClock::OnAnswer(const StoreTime& time, Instant received_at) {
  if (!time.known() || time.epoch < epoch_) {
    return;
  }
  const Micros offset = Micros(std::chrono::milliseconds(time.ms)) -
                        received_at.time_since_epoch();
  const bool outdated = time.epoch > epoch_ || !offset_ ||
                        received_at - offset_read_at_ > kOffsetLifetime;
  if (outdated || offset >= *offset_) {
    epoch_ = time.epoch;
    offset_ = offset;
    offset_read_at_ = received_at;
  }
}

StoreTime StoreClock::At(Instant now) const {
  if (!offset_) {
    return {};
  }
  return {epoch_, (now.time_since_epoch() + *offset_) / 1ms};
}

std::optional<Instant> StoreClock::ToLocal(const StoreTime& time,
                                           Instant now) const {
  if (!time.known() || !offset_ || time.epoch != epoch_) {
    return std::nullopt;
  }
  const Micros local = Micros(std::chrono::milliseconds(time.ms)) - *offset_;
  return std::min(now, Instant(local));
}

}  // namespace jackdaw::serving
