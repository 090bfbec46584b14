#include <array>
#include <boost/test/unit_test.hpp>

#include "replay/order_world.h"

namespace jackdaw {
namespace {

// Steps of 100 ms of virtual time in one history.
constexpr int kSteps = 20'000;
// Number of simulated histories.
constexpr std::uint64_t kSeeds = 12;

// Returns for how many of kSeeds seeds an engine was overcommitted or a model
// lost its last copy, with controllers that assume `timing`.
int UnsafeHistories(bool checks_fence, const OrderTiming& timing) {
  int unsafe = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OrderWorld world(seed, checks_fence, timing);
    bool safe = true;
    for (int step = 0; step < kSteps && safe; ++step) {
      safe = world.Step();
    }
    unsafe += safe ? 0 : 1;
  }
  return unsafe;
}

// The bounds within which the simulated network and instances behave.
OrderTiming SafeTiming() {
  return {15s, OrderWorld::kFlight, OrderWorld::kPause};
}

BOOST_AUTO_TEST_CASE(FencedEnginesAreNeverOvercommitted) {
  BOOST_TEST(UnsafeHistories(true, SafeTiming()) == 0);
}

BOOST_AUTO_TEST_CASE(EnginesThatIgnoreFencesAreNeverOvercommitted) {
  BOOST_TEST(UnsafeHistories(false, SafeTiming()) == 0);
}

// Guards the tests above against passing on histories in which nothing happens.
BOOST_AUTO_TEST_CASE(HistoriesCoverTakeoversAndRejections) {
  for (const bool checks_fence : {true, false}) {
    OrderWorld world(1, checks_fence, SafeTiming());
    for (int step = 0; step < kSteps; ++step) {
      world.Step();
    }
    BOOST_TEST(world.takeovers > 20);
    BOOST_TEST(world.unloads > 20);
    BOOST_TEST((world.engines[0].refused > 0) == checks_fence);
  }
}

// An engine that does not check fencing numbers executes late orders of former
// holders. Controllers that do not wait for these must produce an unsafe
// history, which shows that the tests above can detect one.
BOOST_AUTO_TEST_CASE(WithoutWaitingForOldOrdersSafetyFails) {
  const OrderTiming no_wait{15s, 0us, 0us};
  BOOST_TEST(UnsafeHistories(false, no_wait) > 0);
}

// A duplicate of an order may arrive after the call that sent it has ended,
// also at an engine that checks fencing numbers.
BOOST_AUTO_TEST_CASE(WithoutDeliveryDelaySafetyFails) {
  const OrderTiming no_delivery_delay{15s, 0us, OrderWorld::kPause};
  BOOST_TEST(UnsafeHistories(true, no_delivery_delay) > 0);
}

}  // namespace
}  // namespace jackdaw
