#include "gateway/rate_limit.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

int SentWithin(RateLimit& limit, Instant from, Micros span) {
  int sent = 0;
  for (Instant now = from; now < from + span; now += 10ms) {
    if (limit.Admits(now)) {
      limit.OnSent(now);
      ++sent;
    }
  }
  return sent;
}

BOOST_AUTO_TEST_CASE(LimitLetsNoBurstThroughWhenItIsLearnedOrLeftUnused) {
  RateLimit limit;
  BOOST_TEST(limit.Admits(kStart));
  limit.OnResponse(1.3, kStart);
  BOOST_TEST(!limit.Admits(kStart));
  BOOST_TEST(SentWithin(limit, kStart, 4s) <= 6);
  BOOST_TEST(SentWithin(limit, kStart + 60s, 4s) <= 6);
  BOOST_TEST(SentWithin(limit, kStart + 64s, 40s) >= 51);
}

BOOST_AUTO_TEST_CASE(OlderReportDoesNotBringAnEndedLimitBack) {
  RateLimit limit;
  limit.OnResponse(2, kStart);
  limit.OnResponse(std::nullopt, kStart + 5s);
  limit.OnReport({1, 0, 2.0, 3s}, kStart + 6s);
  BOOST_TEST(!limit.limited());
  limit.OnReport({1, 0, 2.0, 1s}, kStart + 7s);
  BOOST_TEST(limit.limited());
  limit.OnReport({1, 0, std::nullopt, 0s}, kStart + 8s);
  BOOST_TEST(limit.Admits(kStart + 8s));
}

BOOST_AUTO_TEST_CASE(LimitOfZeroStillLearnsItsEnd) {
  RateLimit limit;
  limit.OnResponse(0, kStart);
  BOOST_TEST(SentWithin(limit, kStart, 4s) == 0);
  BOOST_TEST(SentWithin(limit, kStart + 4s, 60s) >= 5);
}

BOOST_AUTO_TEST_CASE(RefusedCallersDoNotComeBackAtOnce) {
  RateLimit limit;
  limit.OnResponse(1, kStart);
  const Instant first = limit.NextReturn(kStart);
  BOOST_TEST((first > kStart));
  BOOST_TEST((limit.NextReturn(kStart) > first));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((limit.NextReturn(kStart) <= kStart + 3s));
  }
}

constexpr Micros kColdInterval = 50ms;

BOOST_AUTO_TEST_CASE(ColdTargetGetsItsRateWithoutABurst) {
  RateLimit limit;
  limit.SetColdInterval(kColdInterval);
  BOOST_TEST(limit.Admits(kStart));
  limit.OnCold({0, 7}, kStart + 3s, kStart);
  BOOST_TEST(!limit.Admits(kStart));
  const int sent = SentWithin(limit, kStart, 3s);
  BOOST_TEST(sent <= 60);
  BOOST_TEST(sent >= 58);
  BOOST_TEST(limit.Admits(kStart + 3s));
  limit.OnCold({0, 8}, kStart + 70s, kStart + 60s);
  BOOST_TEST(SentWithin(limit, kStart + 60s, 1s) <= 20);
}

BOOST_AUTO_TEST_CASE(RowThatIsReadAgainDoesNotProlongTheColdTime) {
  RateLimit limit;
  limit.SetColdInterval(kColdInterval);
  limit.OnCold({0, 7}, kStart + 3s, kStart);
  limit.OnCold({0, 7}, kStart + 5s, kStart + 2s);
  limit.OnCold({0, 6}, kStart + 9s, kStart + 2s);
  BOOST_TEST(!limit.cold(kStart + 3s));
  limit.OnCold({1, 2}, kStart + 9s, kStart + 4s);
  BOOST_TEST(limit.cold(kStart + 8s));
  limit.OnCold({1, 3}, kStart + 8s, kStart + 8s);
  BOOST_TEST(!limit.cold(kStart + 8s));
}

BOOST_AUTO_TEST_CASE(LaterRowEndsAColdTimeThatNoRowNamed) {
  RateLimit limit;
  limit.SetColdInterval(kColdInterval);
  limit.OnCold({0, 7}, kStart, kStart);
  limit.MarkCold(kStart + 3s, kStart);
  BOOST_TEST(limit.cold(kStart + 1s));
  limit.OnCold({0, 7}, kStart + 1s, kStart + 1s);
  BOOST_TEST(limit.cold(kStart + 2s));
  limit.OnCold({0, 8}, kStart + 2s, kStart + 2s);
  BOOST_TEST(!limit.cold(kStart + 2s));
}

BOOST_AUTO_TEST_CASE(ColdTimeOfAServiceWithoutABoundLimitsNothing) {
  RateLimit limit;
  limit.OnCold({0, 7}, kStart + 3s, kStart);
  BOOST_TEST(limit.Admits(kStart));
  BOOST_TEST(!limit.Applies(kStart));
}

BOOST_AUTO_TEST_CASE(LowerOfTwoLimitsHoldsWhileATargetIsCold) {
  RateLimit limit;
  limit.SetColdInterval(kColdInterval);
  limit.OnCold({0, 7}, kStart + 60s, kStart);
  limit.OnResponse(1, kStart);
  BOOST_TEST(SentWithin(limit, kStart, 10s) <= 10);
}

}  // namespace
}  // namespace jackdaw::serving
