#pragma once

#include <span>
#include <vector>

#include "placement/demand_split.h"
#include "placement/planner_input.h"

namespace jackdaw {

/// How eager a planner is.
struct PlannerShape {
  /// Part of a target's capacity that a plan may use.
  double use = 1.0;
  /// Least gain of a move, as a part of its target's capacity.
  double least_gain = 0.04;
  /// An eviction is worth it when the gain is this many times the loss.
  double gain_over_loss = 1.5;
  /// Whether recent peaks count when a copy is evicted.
  bool keep_peaks = true;
};

/// Plans the moves of one instance's targets from a view of the whole fleet:
/// models without a copy first, then the largest marginal gain in demand
/// served, each eviction weighed against what it loses. A model's last copy
/// is never unloaded. Pure.
class Planner {
 public:
  explicit Planner(PlannerShape shape) : shape_(shape) {}

  /// @param own indexes of the targets that this instance plans for
  /// @param most loads that may be begun now
  /// @returns unloads and loads, in the order in which to make them
  std::vector<Move> Plan(const FleetPlan& plan,
                         std::span<const int> own,
                         int most) const;

 private:
  struct Option {
    Move load;
    std::vector<Move> evictions;
    double worth = 0;
  };
  struct Work;

  void Consider(Work& work, int target, int model, Option& best) const;
  bool MakeRoom(const Work& work, int target, int model, Option& option) const;
  double Loss(const Work& work, int target, int model) const;

  PlannerShape shape_;
};

}  // namespace jackdaw
