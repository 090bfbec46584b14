#include "gateway/missing_model_tracker.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kNow{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(CallersRetryAfterModelLoad) {
  MissingModelTracker tracker;
  const auto first = tracker.OnMissing("s/m", 4s, kNow);
  BOOST_TEST(first.is_new);
  BOOST_TEST((first.retry_at > kNow + 4s));
  // A later caller waits for the load that the first request started.
  const auto later = tracker.OnMissing("s/m", 4s, kNow + 2s);
  BOOST_TEST(!later.is_new);
  BOOST_TEST((later.retry_at == first.retry_at));
}

BOOST_AUTO_TEST_CASE(RetryDelayIsBounded) {
  MissingModelTracker tracker;
  for (Instant now = kNow; now < kNow + 30s; now += 100ms) {
    const auto estimate = tracker.OnMissing("s/m", 1200ms, now);
    BOOST_TEST((estimate.retry_at >= now + 500ms));
    BOOST_TEST((estimate.retry_at <= now + 5s));
  }
}

BOOST_AUTO_TEST_CASE(ModelIsNewAfterTimeWithoutRequests) {
  MissingModelTracker tracker;
  tracker.OnMissing("s/m", 1s, kNow);
  BOOST_TEST(!tracker.OnMissing("s/m", 1s, kNow + 4s).is_new);
  BOOST_TEST(tracker.OnMissing("s/n", 1s, kNow + 4s).is_new);
  BOOST_TEST(tracker.OnMissing("s/m", 1s, kNow + 60s).is_new);
}

}  // namespace
}  // namespace jackdaw::serving
