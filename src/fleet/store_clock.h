#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace jackdaw::serving {

/// A moment on the store's steady clock, which all instances can read. Moments
/// of different epochs of the store do not compare; see TableVersion.
struct StoreTime {
  std::int64_t epoch = 0;
  /// Milliseconds; 0 if the moment is unknown.
  std::int64_t ms = 0;

  bool known() const { return ms != 0; }
};

/// Estimate of the store's clock, from the times in its answers. It tells how
/// old something is that another instance has marked with its own estimate.
class StoreClock {
 public:
  /// Applies the time of an answer, or another instance's estimate.
  /// @param received_at local time of receipt; the store's clock shows at least
  /// `time` then
  void OnAnswer(const StoreTime& time, Instant received_at);

  /// @returns the store's time, unknown before the first answer
  StoreTime At(Instant now) const;
  /// @returns the local time of a moment, at most `now`; nothing if the moment
  /// is unknown or of another epoch
  std::optional<Instant> ToLocal(const StoreTime& time, Instant now) const;

 private:
  std::int64_t epoch_ = 0;
  /// Store's time less local time: the largest of the recent answers, whose
  /// way was the shortest.
  std::optional<Micros> offset_;
  Instant offset_read_at_{};
};

}  // namespace jackdaw::serving
