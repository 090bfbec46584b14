#include "placement/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace jackdaw {
namespace {

// Time constants of the exponential smoothing, in seconds.
constexpr double kRiseTimeSeconds = 8;
constexpr double kFallTimeSeconds = 60;
constexpr double kPeakDecaySeconds = 900;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void DemandEstimator::OnRate(Instant now,
                             std::string_view model,
                             double tokens_per_s) {
  auto found = values_.find(model);
  if (found == values_.end()) {
    values_.emplace(model, Value{tokens_per_s, tokens_per_s, now});
    return;
  }
  Value& value = found->second;
  const double elapsed = std::max(0.0, Seconds(now - value.at));
  const double time_constant =
      tokens_per_s > value.demand ? kRiseTimeSeconds : kFallTimeSeconds;
  const double weight = 1 - std::exp(-elapsed / time_constant);
  value.demand += weight * (tokens_per_s - value.demand);
  value.peak *= std::exp(-elapsed / kPeakDecaySeconds);
  value.peak = std::max(value.peak, value.demand);
  value.at = now;
}

DemandEstimator::Value DemandEstimator::EstimateFor(
    std::string_view model) const {
  const auto found = values_.find(model);
  return found == values_.end() ? Value{} : found->second;
}

}  // namespace jackdaw
