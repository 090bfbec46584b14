#pragma once

#include "core/time.h"

namespace jackdaw::serving {

/// How long work takes at one target, as a ratio to the nominal time: the
/// target's long-term ratio, learned from measured times, times the momentary
/// ratio that it reports. Above 1 the target is slow. Answers targets that
/// differ permanently and whose speed also changes many times a second.
///
/// The momentary ratio of a report holds for a few hundred ms. After that the
/// mean of the reports is the better estimate. It does not matter whether the
/// reports contain the permanent difference: samples are divided by the
/// momentary ratio, so that only the remainder is learned.
class TargetSpeed {
 public:
  /// Records a report of the target.
  /// @param ratio time of work at that moment; 1 as usual
  /// @param measured_at time of the report; an older one is ignored
  void OnReport(double ratio, Instant measured_at);
  /// Records how long a prefill took.
  /// @param ratio measured divided by expected time
  /// @param momentary_then Momentary() when the expected time was computed
  /// @returns the sample of the long-term ratio, for other instances
  double OnMeasured(double ratio, double momentary_then, Instant now);
  /// Records a sample of the long-term ratio that another instance measured.
  void AddSample(double sample);

  /// Returns the ratio for work that is done now.
  double Ratio(Instant now) const { return base_ * Momentary(now); }
  /// Returns the mean ratio for work that is done from now on during `span`.
  double MeanRatio(Instant now, Micros span) const;
  /// Returns the ratio without the momentary deviation.
  double LongTermRatio() const { return base_ * mean_; }
  /// Returns the momentary ratio; 1 where the target has reported none.
  double Momentary(Instant now) const;

  bool reported() const { return reported_; }
  /// Returns the last reported ratio.
  double last() const { return last_; }

 private:
  double Clamp(double sample) const;

  /// Long-term ratio of measured to nominal times, as a moving average.
  double base_ = 1;
  bool reported_ = false;
  double last_ = 1;
  Instant last_at_{};
  /// Mean of the reported ratios.
  double mean_ = 1;
};

}  // namespace jackdaw::serving
