#pragma once

#include <atomic>

#include "load/load_plan.h"
#include "load/load_result.h"

namespace jackdaw {

/// Runs a plan with open-loop arrivals: each request starts at its intended
/// moment whether or not earlier ones were answered.
/// @param sent counted up while running, for a progress line
LoadResult RunLoad(const LoadPlan& plan, std::atomic<std::uint64_t>& sent);

}  // namespace jackdaw
