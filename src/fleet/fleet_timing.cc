#include "fleet/fleet_timing.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Interval of heartbeats to the leader: its minimum, the time that each member
// of the fleet adds, and its maximum.
constexpr Micros kMinHeartbeatInterval = 400ms;
constexpr Micros kHeartbeatIntervalPerMember = 10ms;
constexpr Micros kMaxHeartbeatInterval = 1000ms;
// Allowance for the leader's calls to the store and for the heartbeat, which
// takes longer the more members the leader answers: what it begins with, what
// each member adds, and the maximum of that.
constexpr Micros kRelianceMargin = 250ms;
constexpr Micros kRelianceMarginPerMember = 3ms;
constexpr Micros kMaxRelianceAddition = 600ms;
// Spread of first calls: its minimum, the time that each member of the fleet
// adds, and its maximum.
constexpr Micros kMinActivationSpread = 100ms;
constexpr Micros kActivationSpreadPerMember = 3ms;
constexpr Micros kMaxActivationSpread = 600ms;

}  // namespace

Micros FollowerInterval(std::size_t members) {
  return std::clamp(
      kHeartbeatIntervalPerMember * static_cast<std::int64_t>(members),
      kMinHeartbeatInterval, kMaxHeartbeatInterval);
}

Micros RelianceTime(std::size_t members) {
  const Micros addition =
      std::min(kRelianceMarginPerMember * static_cast<std::int64_t>(members),
               kMaxRelianceAddition);
  return kLeaderInterval + FollowerInterval(members) + kRelianceMargin +
         addition;
}

Micros ActivationSpread(std::size_t members) {
  if (members == 0) {
    return kMaxActivationSpread;
  }
  return std::clamp(
      kActivationSpreadPerMember * static_cast<std::int64_t>(members),
      kMinActivationSpread, kMaxActivationSpread);
}

}  // namespace jackdaw::serving
