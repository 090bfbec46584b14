#pragma once

#include <span>
#include <vector>

#include "placement/demand_split.h"
#include "placement/planner_input.h"

namespace jackdaw {

/// Thresholds of the planner.
struct PlannerOptions {
  /// Fraction of a target's capacity that a plan may use.
  double max_utilization = 1.0;
  /// Smallest gain of a load that is not urgent, as a fraction of the target's
  /// capacity.
  double min_gain = 0.04;
  /// Weight of the loss from evictions. A load that is not urgent must gain at
  /// least this weight times the loss, plus `min_gain`.
  double min_gain_to_loss = 1.5;
  /// Whether the loss from an eviction takes recent demand peaks into account.
  bool count_peaks = true;
};

/// Plans loads and unloads for one instance's targets from the state of the
/// whole fleet. Urgent loads come first: models without a copy, of these the
/// ones that callers wait for, then new versions and pinned copies. Other loads
/// follow by marginal gain in demand served, less the weighted loss from
/// evictions. The last copy of a model is never unloaded. Pure.
class Planner {
 public:
  explicit Planner(PlannerOptions options) : options_(options) {}

  /// @param own_targets indexes of the targets that this instance plans for
  /// @param max_loads most loads to plan
  /// @returns unloads and loads, in order of execution
  std::vector<PlacementAction> Plan(const PlannerInput& input,
                                    std::span<const int> own_targets,
                                    int max_loads) const;

 private:
  // A load with the evictions that it needs.
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
