#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::serving {

/// Workspaces are hashed to this many pools, whose parts move independently.
inline constexpr std::size_t kQuotaPools = 64;
/// Each pool is cut into this many equal parts. A few parts keep a large
/// request within what one holder has; several keep most of the quota usable
/// when a holder is lost.
inline constexpr std::size_t kPartsPerPool = 8;
inline constexpr std::size_t kQuotaParts = kQuotaPools * kPartsPerPool;

/// A set of parts of the quotas. Part `i` is one of those of the pool
/// `i / kPartsPerPool`; who holds it may spend 1 / kPartsPerPool of the quota
/// of each workspace of the pool.
using PartSet = std::bitset<kQuotaParts>;

/// Returns the pool of a workspace, the same at all instances.
std::size_t PoolOf(std::string_view workspace);
/// Returns how many parts of a pool are in the set.
std::size_t PartsOfPool(const PartSet& parts, std::size_t pool);

/// Ranks instances by rendezvous hashing: a change of the instances changes
/// few of the holders of a pool.
/// @param names names of the instances that can hold parts
/// @returns the indices of the first kPartsPerPool instances, or of all if
/// there are fewer, which are to hold the parts of the pool
std::vector<std::size_t> RankHolders(std::size_t pool,
                                     std::span<const std::string> names);

}  // namespace jackdaw::serving
