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

DrainTiming Timing() {
  DrainTiming timing;
  timing.list_lag = 2s;
  timing.entry_keep_time = 1s;
  timing.deadline = kStart + 3600s;
  return timing;
}

BOOST_AUTO_TEST_CASE(NothingIsRefusedBeforeEntryAnswersExpire) {
  DrainPlan plan;
  plan.Begin(kStart, Timing());
  DrainStatus status;
  status.entry_cached_until = kStart + 5s;
  BOOST_TEST(Has(plan.Advance(kStart, status), DrainAction::kAnnounce));
  status.announced = true;
  BOOST_TEST(Has(plan.Advance(kStart + 1s, status), DrainAction::kHandOver));
  BOOST_TEST(plan.Advance(kStart + 4s, status).empty());
  BOOST_TEST(Has(plan.Advance(kStart + 5s, status), DrainAction::kRefuseNew));
}

BOOST_AUTO_TEST_CASE(RequestsFinishUnlessTheDeadlinePasses) {
  DrainPlan plan;
  plan.Begin(kStart, Timing());
  DrainStatus status;
  status.announced = true;
  status.in_flight = 1;
  plan.Advance(kStart, status);
  BOOST_TEST(Has(plan.Advance(kStart + 3s, status), DrainAction::kRefuseNew));
  BOOST_TEST(plan.Advance(kStart + 3000s, status).empty());
  BOOST_TEST(
      Has(plan.Advance(kStart + 3600s, status), DrainAction::kEndRequests));
  BOOST_TEST(plan.Advance(kStart + 3601s, status).empty());
  status.in_flight = 0;
  BOOST_TEST(Has(plan.Advance(kStart + 3601s, status), DrainAction::kFlush));
  status.flushed = true;
  BOOST_TEST(Has(plan.Advance(kStart + 3602s, status), DrainAction::kFinish));
  BOOST_TEST(plan.Advance(kStart + 3603s, status).empty());
}

// Whatever the status changes to, each shutdown is complete within 200 s and
// ends no request before the deadline.
BOOST_AUTO_TEST_CASE(NoRequestEndsBeforeTheDeadline) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    DrainPlan plan;
    DrainTiming timing = Timing();
    timing.deadline = kStart + Micros(random.Below(60'000'000));
    plan.Begin(kStart, timing);
    DrainStatus status;
    status.entry_cached_until = kStart + Micros(random.Below(3'000'000));
    Instant now = kStart;
    while (plan.step() != DrainStep::kDone) {
      now += Micros(random.Below(500'000));
      status.announced = status.announced || random.OneIn(20);
      status.in_flight = random.Below(3);
      status.flushed = random.OneIn(10);
      const auto actions = plan.Advance(now, status);
      if (Has(actions, DrainAction::kEndRequests)) {
        BOOST_TEST_REQUIRE((now >= timing.deadline));
      }
      if (Has(actions, DrainAction::kRefuseNew)) {
        BOOST_TEST_REQUIRE(
            (now >= status.entry_cached_until || now >= timing.deadline));
      }
      BOOST_TEST_REQUIRE((now < kStart + 200s));
    }
  }
}

}  // namespace
}  // namespace jackdaw
