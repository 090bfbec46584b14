#include "replay/demand_trace.h"

#include <algorithm>
#include <cmath>

namespace jackdaw {
namespace {

constexpr double kSwing = 10;
constexpr double kPopularityExponent = 0.7;
// Seconds that a level lasts, and that the way to the next one takes.
constexpr int kLeastHold = 240;
constexpr int kHoldSpread = 1200;
constexpr int kLeastRamp = 60;
constexpr int kRampSpread = 240;

std::vector<double> Levels(Random& random, int seconds) {
  std::vector<double> levels;
  levels.reserve(static_cast<std::size_t>(seconds));
  double level = random.Unit();
  while (static_cast<int>(levels.size()) < seconds) {
    const double next = random.Unit();
    const auto hold = kLeastHold + static_cast<int>(random.Below(kHoldSpread));
    const auto ramp = kLeastRamp + static_cast<int>(random.Below(kRampSpread));
    for (int i = 0; i < hold; ++i) {
      levels.push_back(std::pow(kSwing, level));
    }
    for (int i = 0; i < ramp; ++i) {
      levels.push_back(std::pow(kSwing, level + (next - level) * i / ramp));
    }
    level = next;
  }
  levels.resize(static_cast<std::size_t>(seconds));
  return levels;
}

}  // namespace

DemandTrace::DemandTrace(std::uint64_t seed,
                         int models,
                         int seconds,
                         double total) {
  Random random(seed);
  double sum = 0;
  for (int m = 0; m < models; ++m) {
    auto levels = Levels(random, seconds);
    const double weight = 1 / std::pow(m + 1, kPopularityExponent);
    for (double& level : levels) {
      level *= weight;
      sum += level / seconds;
    }
    rates_.push_back(std::move(levels));
  }
  for (auto& levels : rates_) {
    for (double& level : levels) {
      level *= total / sum;
    }
  }
}

double DemandTrace::Mean(int model, int from, int span) const {
  const auto& rates = rates_[static_cast<std::size_t>(model)];
  const int to = std::min(from + span, static_cast<int>(rates.size()));
  double sum = 0;
  for (int s = from; s < to; ++s) {
    sum += rates[static_cast<std::size_t>(s)];
  }
  return sum / std::max(1, to - from);
}

double DemandTrace::Most(int model, int from, int span) const {
  const auto& rates = rates_[static_cast<std::size_t>(model)];
  const int to = std::min(from + span, static_cast<int>(rates.size()));
  double most = 0;
  for (int s = from; s < to; ++s) {
    most = std::max(most, rates[static_cast<std::size_t>(s)]);
  }
  return most;
}

}  // namespace jackdaw
