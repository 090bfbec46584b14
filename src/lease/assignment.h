#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw {

/// Spreads targets over instances by rendezvous hashing with a bound on the
/// load of each, so that every instance computes the same assignment and a
/// change of the list moves few targets.
/// @param targets names in ascending order
/// @returns for each target the index of its instance; -1 without instances
std::vector<int> AssignTargets(std::span<const std::string> targets,
                               std::span<const std::string> instances);

}  // namespace jackdaw
