#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw {

/// Assigns targets to instances by rendezvous hashing with a bound on the
/// number of targets of each instance. Every instance computes the same
/// assignment, and a change of either list moves few targets.
/// @param targets names in ascending order
/// @returns the index of the instance of each target; -1 without instances
std::vector<int> AssignTargets(std::span<const std::string> targets,
                               std::span<const std::string> instances);

}  // namespace jackdaw
