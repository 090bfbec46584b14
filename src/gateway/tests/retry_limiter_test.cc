#include "gateway/retry_limiter.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "core/random.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Instant kLongAgo = kStart - 60s;

int CountRetries(RetryLimiter& limiter, Instant now) {
  int retries = 0;
  while (limiter.TryRetry("s", now)) {
    ++retries;
  }
  return retries;
}

// Guards against a retry budget that the instances exceed together: under
// random traffic, their retries within any window must not exceed the ratio of
// the requests plus the extra retries.
BOOST_AUTO_TEST_CASE(InstancesTogetherStayWithinBudget) {
  const RetryLimits limits{0.2, 52, 10s};
  constexpr int kInstances = 6;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    std::vector<RetryLimiter> limiters(kInstances,
                                       RetryLimiter(limits, kLongAgo));
    for (RetryLimiter& limiter : limiters) {
      limiter.SetInstances(kInstances, kStart);
    }
    std::deque<std::pair<Instant, bool>> events;
    Instant now = kStart;
    int requests = 0;
    int retries = 0;
    for (int step = 0; step < 30'000; ++step) {
      now += 4ms;
      RetryLimiter& limiter = limiters[random.Below(kInstances)];
      const bool retry = random.OneIn(2);
      if (!retry) {
        limiter.OnRequest("s", now);
        events.emplace_back(now, false);
        ++requests;
      } else if (limiter.TryRetry("s", now)) {
        events.emplace_back(now, true);
        ++retries;
      }
      while (!events.empty() && now - events.front().first > limits.window) {
        (events.front().second ? retries : requests) -= 1;
        events.pop_front();
      }
      BOOST_REQUIRE_LE(retries, limits.ratio * requests + limits.extra);
    }
  }
}

BOOST_AUTO_TEST_CASE(InstanceWithoutRequestsMayRetryAFewTimes) {
  RetryLimiter limiter(RetryLimits{0.2, 52, 10s}, kLongAgo);
  limiter.SetInstances(6, kStart);
  BOOST_TEST(limiter.TryRetry("s", kStart));
  int granted = 1;
  while (limiter.TryRetry("s", kStart + 1s)) {
    ++granted;
  }
  BOOST_TEST(granted <= 52 / 6);
  BOOST_TEST(limiter.TryRetry("s", kStart + 15s));
}

BOOST_AUTO_TEST_CASE(RestartsDoNotRenewTheExtraRetries) {
  const RetryLimits limits{0.2, 52, 10s};
  int retries = 0;
  for (int i = 0; i < 6; ++i) {
    RetryLimiter before(limits, kLongAgo);
    before.SetInstances(6, kStart);
    retries += CountRetries(before, kStart);
    RetryLimiter after(limits, kStart + 1s);
    retries += CountRetries(after, kStart + 2s);
    after.SetInstances(6, kStart + 3s);
    retries += CountRetries(after, kStart + 3s);
  }
  BOOST_TEST(retries <= 52);
}

BOOST_AUTO_TEST_CASE(LostInstancesDoNotRaiseTheShareWithinAWindow) {
  const RetryLimits limits{0.2, 52, 10s};
  int retries = 0;
  for (int i = 0; i < 6; ++i) {
    RetryLimiter limiter(limits, kLongAgo);
    limiter.SetInstances(6, kStart);
    retries += CountRetries(limiter, kStart);
    const bool survives = i < 2;
    if (survives) {
      limiter.SetInstances(2, kStart + 4s);
      retries += CountRetries(limiter, kStart + 9s);
      BOOST_TEST(CountRetries(limiter, kStart + 20s) > 52 / 6);
    }
  }
  BOOST_TEST(retries <= 52);
}

}  // namespace
}  // namespace jackdaw::serving
