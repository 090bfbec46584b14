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

/// State of the fleet as one instance has read it: the published state of each
/// target, the copies that targets are committed to keep, and the models that
/// callers wait for.
struct FleetState {
  std::map<std::string, TargetState, std::less<>> targets;
  std::map<std::string, CopySet, std::less<>> copies;
  std::vector<std::string> waiting;
};

/// Returns the names, in ascending order, of the engines that have accelerator
/// memory and are listed by a deployment.
std::vector<std::string> EngineNames(const FleetConfig& config);

/// Combines configuration, fleet state and demand into the planner's input. A
/// target without published state is assumed to hold the copies that it is
/// committed to keep, so that a change of lease holder causes no loads or
/// unloads.
/// @param now_ms milliseconds since the Unix epoch, for setting exceptions that
/// expire
PlannerInput BuildPlannerInput(const FleetConfig& config,
                               const FleetState& fleet,
                               const DemandEstimator& demand,
                               std::int64_t now_ms);

}  // namespace jackdaw
