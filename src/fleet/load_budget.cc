#include "fleet/load_budget.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Fraction of the store's rate that is used.
constexpr double kUsedRateFraction = 0.9;
// Loads that the previous leader may have started just before.
constexpr std::size_t kAssumedLoads = 4;
// Limit of remembered loads; more than any window contains.
constexpr std::size_t kMaxTrackedLoads = 256;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

// Returns the longest load time of a service's models, in seconds.
double LongestLoad(const EngineSpec& offer) {
  double longest = 0;
  for (const ModelSpec& model : offer.models) {
    longest = std::max(longest, Seconds(model.load_time));
  }
  return longest;
}

}  // namespace

void LoadBudget::OnLeaseAcquired(Instant now) {
  loads_.assign(kAssumedLoads, now);
}

void LoadBudget::OnLoadStarted(Instant now) {
  ++started_;
  loads_.push_back(now);
  if (loads_.size() > kMaxTrackedLoads) {
    loads_.pop_front();
  }
}

int LoadBudget::Available(const EngineSpec& offer, Instant now) const {
  const double load_seconds = LongestLoad(offer);
  int recent = 0;
  int loading = 0;
  for (const Instant at : loads_) {
    recent += now - at < kLoadWindow ? 1 : 0;
    loading += Seconds(now - at) < load_seconds ? 1 : 0;
  }
  const double max_in_window =
      kUsedRateFraction * offer.loads_per_second * Seconds(kLoadWindow);
  // Little's law: loads in progress at the full rate of the store.
  const double max_concurrent =
      std::floor(offer.loads_per_second * load_seconds);
  return std::min(static_cast<int>(std::floor(max_in_window)) - recent,
                  std::max(1, static_cast<int>(max_concurrent)) - loading);
}

}  // namespace jackdaw::serving
