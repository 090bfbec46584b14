#pragma once

#include <span>
#include <vector>

#include "placement/demand_split.h"
#include "placement/planner_input.h"

namespace jackdaw {

/// How eager a planner is.
struct PlannerOptions {
  /// Part of a target's capacity that a plan may use.
  double max_utilization = 1.0;
  /// Least gain of a move, as a part of its target's capacity.
  double min_gain = 0.04;
  /// An eviction is worth it when the gain is this many times the loss.
  double min_gain_to_loss = 1.5;
  /// Whether recent peaks count when a copy is evicted.
  bool count_peaks = true;
};

/// Plans the moves of one instance's targets from a view of the whole fleet:
/// models without a copy first, then the largest marginal gain in demand
/// served, each eviction weighed against what it loses. A model's last copy
/// is never unloaded. Pure.
class Planner {
 public:
  explicit Planner(PlannerOptions options) : options_(options) {}

  /// @param own indexes of the targets that this instance plans for
  /// @param most loads that may be begun now
  /// @returns unloads and loads, in the order in which to make them
  std::vector<PlacementAction> Plan(const PlannerInput& input,
                                    std::span<const int> own_targets,
                                    int max_loads) const;

 private:
  struct Candidate {
    PlacementAction load;
    std::vector<PlacementAction> evictions;
    double score = 0;
  };
  struct WorkingPlan;

  void EvaluateLoad(WorkingPlan& working,
                    int target,
                    int model,
                    Candidate& best) const;
  bool ChooseEvictions(const WorkingPlan& working,
                       int target,
                       int model,
                       Candidate& candidate) const;
  double EvictionLoss(const WorkingPlan& working, int target, int model) const;

  PlannerOptions options_;
};

}  // namespace jackdaw
