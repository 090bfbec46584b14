#include "gateway/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Time constant of the moving average, in seconds.
constexpr double kAveragingSeconds = 1.5;
// Rate below which a model is removed from the averages.
constexpr double kMinRequestsPerSecond = 0.005;

}  // namespace

void DemandMeter::OnRequest(const ModelKey& key, double tokens, bool unmet) {
  Demand& count = counts_[key];
  count.requests += 1;
  count.tokens += tokens;
  count.unmet += unmet ? 1 : 0;
}

void DemandMeter::EndPeriod(Instant now) {
  // At least 0.05 s, which bounds the rates of a very short period.
  const double span = std::max(
      0.05, std::chrono::duration<double>(now - period_start_).count());
  const double keep =
      period_start_ == Instant{} ? 0 : std::exp(-span / kAveragingSeconds);
  period_start_ = now;
  for (auto& [key, average] : averages_) {
    average.requests *= keep;
    average.tokens *= keep;
    average.unmet *= keep;
  }
  for (const auto& [key, count] : counts_) {
    Demand& average = averages_[key];
    average.requests += (1 - keep) * count.requests / span;
    average.tokens += (1 - keep) * count.tokens / span;
    average.unmet += (1 - keep) * count.unmet / span;
  }
  counts_.clear();
  std::erase_if(averages_, [](const auto& item) {
    return item.second.requests < kMinRequestsPerSecond;
  });
}

}  // namespace jackdaw::serving
