#pragma once

#include <span>
#include <vector>

#include "placement/planner_input.h"

namespace jackdaw {

/// How the demand of all models spreads over the targets that hold them.
struct DemandSplit {
  /// Tokens a second at each target.
  std::vector<double> load;
  /// Tokens a second of each model that no target has capacity for.
  std::vector<double> unmet;
};

/// Spreads the demand of each model over its ready copies, small parts first
/// to the least loaded copy.
/// @param use part of each target's capacity that may be used, from 0 to 1
/// @param with_incoming whether copies on their way count as ready
DemandSplit SplitDemand(const PlannerInput& input,
                        double max_utilization,
                        bool with_incoming);

/// Targets that hold or will hold each model.
/// @param with_incoming whether copies on their way count
std::vector<std::vector<int>> CopiesOf(const PlannerInput& input,
                                       bool with_incoming);

}  // namespace jackdaw
