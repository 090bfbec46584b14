#include <array>
#include <boost/test/unit_test.hpp>

#include "replay/order_world.h"

namespace jackdaw {
namespace {

constexpr int kSteps = 20'000;
constexpr std::uint64_t kSeeds = 12;

// Seeds whose history broke a promise, of kSeeds.
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

OrderTiming SafeTiming() {
  return {15s, OrderWorld::kFlight, OrderWorld::kPause};
}

BOOST_AUTO_TEST_CASE(FencedEnginesAreNeverOvercommitted) {
  BOOST_TEST(UnsafeHistories(true, SafeTiming()) == 0);
}

BOOST_AUTO_TEST_CASE(EnginesThatIgnoreFencesAreNeverOvercommitted) {
  BOOST_TEST(UnsafeHistories(false, SafeTiming()) == 0);
}

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

BOOST_AUTO_TEST_CASE(WithoutWaitingForOldOrdersSafetyFails) {
  const OrderTiming no_wait{15s, 0us, 0us};
  BOOST_TEST(UnsafeHistories(false, no_wait) > 0);
}

BOOST_AUTO_TEST_CASE(WithoutDeliveryDelaySafetyFails) {
  const OrderTiming no_flight{15s, 0us, OrderWorld::kPause};
  BOOST_TEST(UnsafeHistories(true, no_flight) > 0);
}

}  // namespace
}  // namespace jackdaw
