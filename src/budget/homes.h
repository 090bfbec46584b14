#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/instance_entry.h"

namespace jackdaw {

/// Returns the number of homes of a workspace, the instances that keep the
/// units of its budget that no demand uses: the largest number, at least 1,
/// such that an equal part of the burst holds the tokens of two typical
/// requests.
/// @param burst tokens of the whole budget
/// @param request_tokens tokens of a typical request
/// @param most upper bound on the result
std::size_t HomeCount(std::int64_t burst,
                      std::int64_t request_tokens,
                      std::size_t most);

/// Returns the homes of a workspace, at most `count` names. They are chosen by
/// rendezvous hashing, so that a change of the fleet moves few of them. Leaving
/// instances are excluded.
std::vector<std::string> HomesOf(std::string_view workspace,
                                 const std::vector<InstanceEntry>& instances,
                                 std::size_t count);

}  // namespace jackdaw
