#include "retry/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(RetriesStayAFractionOfFirstAttempts) {
  RetryBudget budget(RetryRates{100, 0, 10'000});
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.OnFirstAttempt(kStart, "school", "t" + std::to_string(i % 4));
    retries += budget.TryRetry(kStart, "school", "t0") ? 1 : 0;
  }
  // One in ten of the 2,500 first attempts at t0, and the initial 10 retries.
  BOOST_TEST(retries <= 2500 / 10 + 10);
  BOOST_TEST(retries > 0);
}

BOOST_AUTO_TEST_CASE(RefusedRetryChargesNeitherWorkspaceNorTarget) {
  RetryBudget budget(RetryRates{0, 0, 2000});
  BOOST_TEST(budget.TryRetry(kStart, "a", "t1"));
  BOOST_TEST(budget.TryRetry(kStart, "a", "t1"));
  BOOST_TEST(!budget.TryRetry(kStart, "a", "t2"));
  BOOST_TEST(!budget.TryRetry(kStart, "b", "t1"));
  BOOST_TEST(budget.TryRetry(kStart, "b", "t2"));
  BOOST_TEST(budget.TryRetry(kStart, "b", "t2"));
}

BOOST_AUTO_TEST_CASE(RefillAllowsRetriesAtALowRequestRate) {
  RetryBudget budget(RetryRates{0, 500, 1000});
  BOOST_TEST(budget.TryRetry(kStart, "a", "t"));
  BOOST_TEST(!budget.TryRetry(kStart + 1s, "a", "t"));
  BOOST_TEST(budget.TryRetry(kStart + 2s, "a", "t"));
}

}  // namespace
}  // namespace jackdaw
