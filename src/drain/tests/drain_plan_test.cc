#include "drain/drain_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "core/random.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{1000s};

bool Has(const std::vector<DrainAction>& actions, DrainAction action) {
  return std::find(actions.begin(), actions.end(), action) != actions.end();
}

DrainTimes Times() {
  DrainTimes times;
  times.list_lag = 2s;
  times.keep = 1s;
  times.deadline = kStart + 3600s;
  return times;
}

BOOST_AUTO_TEST_CASE(NothingIsRefusedBeforeCallersAreGone) {
  DrainPlan plan;
  plan.Begin(kStart, Times());
  DrainFacts facts;
  facts.kept_until = kStart + 5s;
  BOOST_TEST(Has(plan.Advance(kStart, facts), DrainAction::kAnnounce));
  facts.announced = true;
  BOOST_TEST(Has(plan.Advance(kStart + 1s, facts), DrainAction::kHandOver));
  BOOST_TEST(plan.Advance(kStart + 4s, facts).empty());
  BOOST_TEST(Has(plan.Advance(kStart + 5s, facts), DrainAction::kRefuseNew));
}

BOOST_AUTO_TEST_CASE(RequestsFinishUnlessTheStopMustEnd) {
  DrainPlan plan;
  plan.Begin(kStart, Times());
  DrainFacts facts;
  facts.announced = true;
  facts.in_flight = 1;
  plan.Advance(kStart, facts);
  BOOST_TEST(Has(plan.Advance(kStart + 3s, facts), DrainAction::kRefuseNew));
  BOOST_TEST(plan.Advance(kStart + 3000s, facts).empty());
  BOOST_TEST(
      Has(plan.Advance(kStart + 3600s, facts), DrainAction::kEndRequests));
  BOOST_TEST(plan.Advance(kStart + 3601s, facts).empty());
  facts.in_flight = 0;
  BOOST_TEST(Has(plan.Advance(kStart + 3601s, facts), DrainAction::kFlush));
  facts.flushed = true;
  BOOST_TEST(Has(plan.Advance(kStart + 3602s, facts), DrainAction::kFinish));
  BOOST_TEST(plan.Advance(kStart + 3603s, facts).empty());
}

// Whatever the facts do, each shutdown ends, in order, and ends no request
// before its deadline.
BOOST_AUTO_TEST_CASE(RandomFactsNeverCutOffARequestEarly) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    DrainPlan plan;
    DrainTimes times = Times();
    times.deadline = kStart + Micros(random.Below(60'000'000));
    plan.Begin(kStart, times);
    DrainFacts facts;
    facts.kept_until = kStart + Micros(random.Below(3'000'000));
    Instant now = kStart;
    while (plan.step() != DrainStep::kDone) {
      now += Micros(random.Below(500'000));
      facts.announced = facts.announced || random.OneIn(20);
      facts.in_flight = random.Below(3);
      facts.flushed = random.OneIn(10);
      const auto actions = plan.Advance(now, facts);
      if (Has(actions, DrainAction::kEndRequests)) {
        BOOST_TEST_REQUIRE((now >= times.deadline));
      }
      if (Has(actions, DrainAction::kRefuseNew)) {
        BOOST_TEST_REQUIRE((now >= facts.kept_until || now >= times.deadline));
      }
      BOOST_TEST_REQUIRE((now < kStart + 200s));
    }
  }
}

}  // namespace
}  // namespace jackdaw
