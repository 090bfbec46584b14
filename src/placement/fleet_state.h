#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/fleet_config.h"
#include "placement/copy_set.h"
#include "placement/demand_estimator.h"
#include "placement/placement_state.h"
#include "placement/planner_input.h"

namespace jackdaw {

/// What a planner has read: the states that instances published, by target,
/// and the copies that targets are bound to keep.
struct FleetState {
  std::map<std::string, TargetState, std::less<>> targets;
  std::map<std::string, CopySet, std::less<>> copies;
  std::vector<std::string> waiting;
};

/// Names of the engines that hold models, in ascending order.
std::vector<std::string> EngineNames(const FleetConfig& config);

/// Joins configuration, survey and demand into what a plan is made from. A
/// target of which nothing was published counts with the copies it is bound
/// to, so that a change of its lease's holder moves nothing.
/// @param now_ms milliseconds since the Unix epoch, for exceptions that expire
PlannerInput BuildPlannerInput(const FleetConfig& config,
                               const FleetState& fleet,
                               const DemandEstimator& demand,
                               std::int64_t now_ms);

}  // namespace jackdaw
