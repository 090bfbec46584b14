#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/instance_entry.h"

namespace jackdaw {

/// Number of instances that keep a workspace's unused units: as many as can
/// each hold room for two requests of the usual size.
/// @param burst tokens of the whole @param request_tokens usual request
/// @param most upper bound
std::size_t HomeCount(std::int64_t burst,
                      std::int64_t request_tokens,
                      std::size_t most);

/// Instances that keep a workspace's unused units, by rendezvous hashing, so
/// that a change of the fleet moves few of them. Leaving instances are left
/// out. @returns at most `count` names
std::vector<std::string> HomesOf(std::string_view workspace,
                                 const std::vector<InstanceEntry>& instances,
                                 std::size_t count);

}  // namespace jackdaw
