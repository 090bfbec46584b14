#include "fairness/fair_queue.h"

#include <boost/test/unit_test.hpp>

#include "fairness/usage_priority.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(LongBacklogDoesNotDelayOtherWorkspaces) {
  FairQueue<int> queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push("loud", 10, 0);
  }
  queue.Push("quiet", 10, 1);
  queue.Push("quiet", 10, 1);
  int quiet = 0;
  for (int i = 0; i < 4; ++i) {
    quiet += *queue.Pop();
  }
  BOOST_TEST(quiet == 2);
  BOOST_TEST(queue.WaitingCount("loud") == 98U);
}

BOOST_AUTO_TEST_CASE(CapacityIsSharedByWeightAndCost) {
  FairQueue<int> queue;
  queue.SetWeight("a", 3);
  for (int i = 0; i < 400; ++i) {
    queue.Push("a", 10, 1);
    queue.Push("b", 10, 0);
    queue.Push("c", 40, 0);
  }
  int of_a = 0;
  for (int i = 0; i < 170; ++i) {
    of_a += *queue.Pop();
  }
  // Of 4.25 parts, a gets 3, b 1 and c 0.25, as its requests cost four times as
  // much: about 120 of the 170 requests are from a.
  BOOST_TEST(of_a >= 115);
  BOOST_TEST(of_a <= 125);
  BOOST_TEST(queue.Remove([](int item) { return item == 0; }) > 0U);
  BOOST_TEST(queue.size() == queue.WaitingCount("a"));
}

BOOST_AUTO_TEST_CASE(OnlyAWorkspaceAboveItsRateLosesPriority) {
  UsagePriority usage;
  std::int32_t within = 0;
  std::int32_t beyond = 0;
  for (int i = 0; i < 400; ++i) {
    const Instant now = kStart + i * 100ms;
    within = std::max(within, usage.OnRequest(now, "a", 100, 1000));
    beyond = usage.OnRequest(now, "b", 500, 1000);
  }
  BOOST_TEST(within == UsagePriority::kWithinRate);
  BOOST_TEST(beyond > UsagePriority::kWithinRate);
}

}  // namespace
}  // namespace jackdaw
