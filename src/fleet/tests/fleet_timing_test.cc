#include "fleet/fleet_timing.h"

#include <boost/test/unit_test.hpp>

#include "fleet/watch_delay.h"

namespace jackdaw::serving {
namespace {

/// A size of the fleet, and the time within which each instance must know that
/// a target leaves.
struct Deployment {
  std::size_t members;
  Micros drain_time;
};

constexpr Deployment kDeployments[] = {{1, 2s},   {6, 2s},  {8, 2s},
                                       {59, 3s},  {82, 3s}, {91, 3s},
                                       {295, 4s}, {370, 4s}};
// Time of a call to the store, and of a request on its way to a target.
constexpr Micros kCallTime = 100ms;
// Largest random number.
constexpr double kLargest = 0.9999;

// Guards against requests to a target that has left, from instances whose
// leader lost the store just then (DRAIN). The leader has not read the change
// as it pauses between two calls, and the store has answered it last after the
// change.
BOOST_AUTO_TEST_CASE(ChangeIsKnownInTimeAtAnySizeIfTheLeaderLosesTheStore) {
  for (const Deployment& deployment : kDeployments) {
    const Micros spread = ActivationSpread(deployment.members);
    const Micros known_after =
        DelayAfterChanges(true, kLargest) + RelianceTime(deployment.members) +
        DelayOfFirstCall(false, spread, kLargest) + 2 * kCallTime;
    BOOST_TEST(
        (known_after <= deployment.drain_time),
        deployment.members << " members: " << known_after / 1ms << " ms");
  }
}

// Guards against calls of all instances to the store while nothing is wrong: a
// renewal and the heartbeat that tells of it may each be the latest possible.
BOOST_AUTO_TEST_CASE(LeaderWithTheStoreIsReliedOnAtAnySize) {
  for (const Deployment& deployment : kDeployments) {
    BOOST_TEST((kLeaderInterval + FollowerInterval(deployment.members) +
                    2 * kCallTime <=
                RelianceTime(deployment.members)));
  }
}

// Guards against a peak of calls when the followers of a leader are on their
// own at once.
BOOST_AUTO_TEST_CASE(FirstCallsOfAFleetAreFarEnoughApart) {
  constexpr std::int64_t kWatches = 2;
  // Reads a second that the store of the smallest deployments serves.
  constexpr std::int64_t kMaxCallsPerSecond = 2000;
  for (const Deployment& deployment : kDeployments) {
    const auto calls = kWatches * static_cast<std::int64_t>(deployment.members);
    BOOST_TEST(calls * (1s / 1ms) /
                   (ActivationSpread(deployment.members) / 1ms) <=
               kMaxCallsPerSecond);
  }
  BOOST_TEST((ActivationSpread(0) == ActivationSpread(370)));
}

}  // namespace
}  // namespace jackdaw::serving
