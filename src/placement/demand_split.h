#pragma once

#include <span>
#include <vector>

#include "placement/planner_input.h"

namespace jackdaw {

/// Distribution of the demand of all models over the targets that hold them.
struct DemandSplit {
  /// Tokens per second at each target.
  std::vector<double> load;
  /// Tokens per second of each model for which no target has capacity.
  std::vector<double> unmet;
};

/// Distributes the demand of each model over its ready copies in equal chunks,
/// each to the copy whose target has the lowest utilization.
/// @param max_utilization fraction of each target's capacity that may be used,
/// from 0 to 1
/// @param with_incoming whether copies being loaded count as ready
DemandSplit SplitDemand(const PlannerInput& input,
                        double max_utilization,
                        bool with_incoming);

/// Returns the usable targets that hold each model, by index of the model.
/// @param with_incoming whether copies being loaded count
std::vector<std::vector<int>> CopiesOf(const PlannerInput& input,
                                       bool with_incoming);

}  // namespace jackdaw
