#include "fleet/load_budget.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Part of the store's rate that is used.
constexpr double kLoadPart = 0.9;
// Loads that a leader before may just have begun.
constexpr std::size_t kUnknownLoads = 4;
// More loads than any window holds.
constexpr std::size_t kMostKept = 256;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

// Longest time that a load of a service takes, in seconds.
double LongestLoad(const EngineSpec& offer) {
  double longest = 0;
  for (const ModelSpec& model : offer.models) {
    longest = std::max(longest, Seconds(model.load_time));
  }
  return longest;
}

}  // namespace

void LoadBudget::OnTerm(Instant now) {
  loads_.assign(kUnknownLoads, now);
}

void LoadBudget::OnLoad(Instant now) {
  ++begun_;
  loads_.push_back(now);
  if (loads_.size() > kMostKept) {
    loads_.pop_front();
  }
}

int LoadBudget::Free(const EngineSpec& offer, Instant now) const {
  const double load_seconds = LongestLoad(offer);
  int lately = 0;
  int loading = 0;
  for (const Instant at : loads_) {
    lately += now - at < kLoadWindow ? 1 : 0;
    loading += Seconds(now - at) < load_seconds ? 1 : 0;
  }
  const double in_window =
      kLoadPart * offer.loads_per_second * Seconds(kLoadWindow);
  const double at_once = std::floor(offer.loads_per_second * load_seconds);
  return std::min(static_cast<int>(std::floor(in_window)) - lately,
                  std::max(1, static_cast<int>(at_once)) - loading);
}

}  // namespace jackdaw::serving
