#include "gateway/target_speed.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Time constant with which a report loses its meaning. The ratio changes many
// times a second.
constexpr double kMomentarySeconds = 0.3;
// Time constant of the mean of the reports.
constexpr double kMeanSeconds = 5;
// Weight of a new sample of the long-term ratio, and bounds of the sample.
constexpr double kSampleWeight = 0.1;
constexpr double kMinSample = 0.7;
constexpr double kMaxSample = 6;
// Least sample of a target that reports its speed. Permanent ratios down to
// 0.6 occur, and the report may contain the opposite deviation.
constexpr double kMinReportedSample = 0.3;
// Largest ratio of a sample to the mean. A time that contains a wait for a slot
// that was not expected is several times as long.
constexpr double kMaxSampleStep = 1.4;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void TargetSpeed::OnReport(double ratio, Instant measured_at) {
  if (!reported_) {
    reported_ = true;
    mean_ = ratio;
  } else if (measured_at < last_at_) {
    return;
  }
  const double weight =
      1 - std::exp(-Seconds(measured_at - last_at_) / kMeanSeconds);
  mean_ += weight * (ratio - mean_);
  last_ = ratio;
  last_at_ = measured_at;
}

double TargetSpeed::Clamp(double sample) const {
  if (!reported_) {
    return std::clamp(sample, kMinSample, kMaxSample);
  }
  const double bounded = std::clamp(sample, kMinReportedSample, kMaxSample);
  return std::clamp(bounded, base_ / kMaxSampleStep, base_ * kMaxSampleStep);
}

double TargetSpeed::OnMeasured(double ratio,
                               double momentary_then,
                               Instant now) {
  // The work was done between the two moments.
  const double momentary = (momentary_then + Momentary(now)) / 2;
  const double sample = Clamp(ratio * base_ * momentary_then / momentary);
  base_ += kSampleWeight * (sample - base_);
  return sample;
}

void TargetSpeed::AddSample(double sample) {
  base_ += kSampleWeight * (Clamp(sample) - base_);
}

double TargetSpeed::Momentary(Instant now) const {
  const double age = std::max(0.0, Seconds(now - last_at_));
  return mean_ + (last_ - mean_) * std::exp(-age / kMomentarySeconds);
}

double TargetSpeed::MeanRatio(Instant now, Micros span) const {
  const double length = Seconds(span) / kMomentarySeconds;
  if (length <= 0) {
    return Ratio(now);
  }
  const double left = (1 - std::exp(-length)) / length;
  return base_ * (mean_ + (Momentary(now) - mean_) * left);
}

}  // namespace jackdaw::serving
