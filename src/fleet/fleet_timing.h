#pragma once

#include <cstddef>

#include "core/time.h"

namespace jackdaw::serving {

/// Interval of the leader's heartbeats, with which it renews its lease.
inline constexpr Micros kLeaderInterval = 700ms;

/// Returns the interval at which each follower sends heartbeats to the leader,
/// which answers all of them.
/// @param members members of the fleet
Micros FollowerInterval(std::size_t members);

/// Returns the time for which a follower relies on the leader's data, from the
/// last moment at which the store has certainly answered the leader. A leader
/// that the store answers renews this before it ends: with each of its own
/// heartbeats, which the follower learns with its own next one.
Micros RelianceTime(std::size_t members);

/// Returns the largest delay of an instance that does not lead, before the
/// first call of a watch. When a leader is lost, all its followers start their
/// watches; the calls are spread over this time.
/// @param members members of the fleet; 0 if unknown
Micros ActivationSpread(std::size_t members);

}  // namespace jackdaw::serving
