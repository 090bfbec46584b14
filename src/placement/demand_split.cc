#include "placement/demand_split.h"

#include <algorithm>
#include <numeric>

namespace jackdaw {
namespace {

// Number of chunks into which the demand of one model is divided.
constexpr int kChunksPerModel = 12;

// Returns the target with the lowest utilization, or -1 when there are no
// copies or all targets have reached the maximum.
int LeastLoaded(const PlannerInput& input,
                const std::vector<int>& copies,
                const std::vector<double>& load,
                double max_utilization) {
  int best = -1;
  double lowest_utilization = max_utilization;
  for (const int target : copies) {
    const auto at = static_cast<std::size_t>(target);
    const double utilization = load[at] / input.targets[at].capacity;
    if (utilization < lowest_utilization) {
      best = target;
      lowest_utilization = utilization;
    }
  }
  return best;
}

}  // namespace

std::vector<std::vector<int>> CopiesOf(const PlannerInput& input,
                                       bool with_incoming) {
  std::vector<std::vector<int>> copies(input.models.size());
  for (std::size_t t = 0; t < input.targets.size(); ++t) {
    const PlanTarget& target = input.targets[t];
    if (!target.usable) {
      continue;
    }
    for (const int model : target.ready) {
      copies[static_cast<std::size_t>(model)].push_back(static_cast<int>(t));
    }
    if (with_incoming) {
      for (const int model : target.incoming) {
        copies[static_cast<std::size_t>(model)].push_back(static_cast<int>(t));
      }
    }
  }
  return copies;
}

DemandSplit SplitDemand(const PlannerInput& input,
                        double max_utilization,
                        bool with_incoming) {
  DemandSplit split;
  split.load.assign(input.targets.size(), 0);
  split.unmet.assign(input.models.size(), 0);
  const auto copies = CopiesOf(input, with_incoming);
  // Models with few copies are assigned first, because they have the least
  // choice of targets.
  std::vector<std::size_t> order(input.models.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return copies[a].size() != copies[b].size()
               ? copies[a].size() < copies[b].size()
               : a < b;
  });
  for (const std::size_t m : order) {
    double remaining = input.models[m].demand;
    const double chunk = remaining / kChunksPerModel;
    while (remaining > 0) {
      const int target =
          LeastLoaded(input, copies[m], split.load, max_utilization);
      if (target < 0) {
        break;
      }
      const auto at = static_cast<std::size_t>(target);
      const double spare =
          max_utilization * input.targets[at].capacity - split.load[at];
      const double assigned = std::min({chunk, remaining, spare});
      split.load[at] += assigned;
      // A remainder below 1e-6 of a chunk is a rounding error.
      remaining =
          remaining - assigned < chunk * 1e-6 ? 0 : remaining - assigned;
    }
    split.unmet[m] = remaining;
  }
  return split;
}

}  // namespace jackdaw
