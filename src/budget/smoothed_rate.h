#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// Rate per second, smoothed exponentially.
class SmoothedRate {
 public:
  explicit SmoothedRate(Micros time_constant) : time_constant_(time_constant) {}

  /// Adds an amount; a negative one reverts an excess added before.
  void Add(Instant now, std::int64_t amount) {
    if (first_at_ == Instant{}) {
      first_at_ = now;
    }
    Decay(now);
    rate_ =
        std::max(0.0, rate_ + static_cast<double>(amount) * 1e6 /
                                  static_cast<double>(time_constant_.count()));
  }
  /// Returns the rate, corrected for the start: divides by the weight that the
  /// time since the first amount has in the average.
  double PerSecond(Instant now) {
    Decay(now);
    if (first_at_ == Instant{}) {
      return 0;
    }
    const double age =
        static_cast<double>(std::max(now - first_at_, Micros(kMinAge)).count());
    return rate_ /
           (1 - std::exp(-age / static_cast<double>(time_constant_.count())));
  }

  /// Returns whether the first amount was added less than one time constant
  /// ago.
  bool IsNew(Instant now) const {
    return first_at_ != Instant{} && now - first_at_ < time_constant_;
  }

 private:
  // Minimum of that time, so that the first amount does not appear as a high
  // rate.
  static constexpr Micros kMinAge = 5s;

  void Decay(Instant now) {
    if (now > decayed_at_) {
      const double span = static_cast<double>((now - decayed_at_).count()) /
                          static_cast<double>(time_constant_.count());
      rate_ *= std::exp(-std::min(span, 100.0));
      decayed_at_ = now;
    }
  }

  Micros time_constant_;
  double rate_ = 0;
  Instant decayed_at_{};
  Instant first_at_{};
};

}  // namespace jackdaw
