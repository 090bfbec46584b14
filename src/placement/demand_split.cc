#include "placement/demand_split.h"

#include <algorithm>
#include <numeric>

namespace jackdaw {
namespace {

// Parts that the demand of a model is spread in.
constexpr int kPartsPerModel = 12;

// The copy with the least relative load, or -1 when none has room left.
int LeastLoaded(const PlannerInput& plan,
                const std::vector<int>& copies,
                const std::vector<double>& load,
                double use) {
  int best = -1;
  double best_part = use;
  for (const int target : copies) {
    const auto at = static_cast<std::size_t>(target);
    const double part = load[at] / plan.targets[at].capacity;
    if (part < best_part) {
      best = target;
      best_part = part;
    }
  }
  return best;
}

}  // namespace

std::vector<std::vector<int>> CopiesOf(const PlannerInput& plan,
                                       bool with_incoming) {
  std::vector<std::vector<int>> copies(plan.models.size());
  for (std::size_t t = 0; t < plan.targets.size(); ++t) {
    const PlanTarget& target = plan.targets[t];
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

DemandSplit SplitDemand(const PlannerInput& plan,
                        double use,
                        bool with_incoming) {
  DemandSplit split;
  split.load.assign(plan.targets.size(), 0);
  split.unmet.assign(plan.models.size(), 0);
  const auto copies = CopiesOf(plan, with_incoming);
  // Models with few copies are placed first: they have no choice.
  std::vector<std::size_t> order(plan.models.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return copies[a].size() != copies[b].size()
               ? copies[a].size() < copies[b].size()
               : a < b;
  });
  for (const std::size_t m : order) {
    double rest = plan.models[m].demand;
    const double part = rest / kPartsPerModel;
    while (rest > 0) {
      const int target = LeastLoaded(plan, copies[m], split.load, use);
      if (target < 0) {
        break;
      }
      const auto at = static_cast<std::size_t>(target);
      const double room = use * plan.targets[at].capacity - split.load[at];
      const double taken = std::min({part, rest, room});
      split.load[at] += taken;
      rest = rest - taken < part * 1e-6 ? 0 : rest - taken;
    }
    split.unmet[m] = rest;
  }
  return split;
}

}  // namespace jackdaw
