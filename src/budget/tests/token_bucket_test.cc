#include "budget/token_bucket.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'000'000)};

BOOST_AUTO_TEST_CASE(NeverGrantsMoreThanRateAndBurst) {
  TokenBucket bucket(10, 50, kStart);
  std::int64_t granted = 0;
  for (int i = 0; i <= 1000; ++i) {
    const Instant now = kStart + Micros(10'000 * i);
    while (bucket.TrySpend(now, 3)) {
      granted += 3;
    }
  }
  // The burst of 50 and 10 s at 10 tokens per second.
  BOOST_TEST(granted <= 150);
  BOOST_TEST(granted > 146);
}

BOOST_AUTO_TEST_CASE(ReadyAtIsTheFirstTimeAtWhichASpendSucceeds) {
  TokenBucket bucket(10, 50, kStart);
  BOOST_TEST(bucket.TrySpend(kStart, 50));
  const Instant ready = bucket.ReadyAt(kStart, 20);
  BOOST_TEST((ready == kStart + 2s));
  BOOST_TEST(!bucket.TrySpend(ready - Micros(1), 20));
  BOOST_TEST(bucket.TrySpend(ready, 20));
  BOOST_TEST((bucket.ReadyAt(ready, 51) == Instant::max()));
}

BOOST_AUTO_TEST_CASE(ReducingTheBurstCapsTheLevel) {
  TokenBucket bucket(10, 50, kStart);
  bucket.Resize(kStart, 10, 20);
  BOOST_TEST(!bucket.TrySpend(kStart, 21));
  BOOST_TEST(bucket.TrySpend(kStart, 20));
}

}  // namespace
}  // namespace jackdaw
