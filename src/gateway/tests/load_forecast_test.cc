#include "gateway/load_forecast.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(OwnRequestCountsUntilItEnds) {
  LoadForecast forecast;
  const std::uint32_t id = forecast.AddOwn(kStart, kStart + 1s, 500);
  BOOST_TEST(forecast.Requests(kStart + 5s) == 1);
  BOOST_TEST(forecast.Tokens(kStart + 5s) == 500);
  forecast.RemoveOwn(id);
  BOOST_TEST(forecast.Requests(kStart + 5s) == 0);
  BOOST_TEST(forecast.Tokens(kStart + 5s) == 0);
}

// Guards against a target that looks full forever because the end of a request
// of another instance is not known here.
BOOST_AUTO_TEST_CASE(RequestOfAnotherInstanceCountsUntilItsExpectedEnd) {
  LoadForecast forecast;
  forecast.AddOther(kStart, kStart + 1s, 500);
  BOOST_TEST(forecast.Requests(kStart + 999ms) == 1);
  BOOST_TEST(forecast.Requests(kStart + 1s) == 0);
  // It may be late, so its memory counts a little longer.
  BOOST_TEST(forecast.Tokens(kStart + 1200ms) == 500);
  BOOST_TEST(forecast.Tokens(kStart + 2s) == 0);
}

BOOST_AUTO_TEST_CASE(WaitEndsWhenASlotIsFreeForTheNewRequest) {
  LoadForecast forecast;
  for (int i = 4; i >= 1; --i) {
    forecast.AddOther(kStart, kStart + i * 100ms, 10);
  }
  BOOST_TEST((forecast.WaitForSlot(5, kStart) == 0ms));
  BOOST_TEST((forecast.WaitForSlot(4, kStart) == 100ms));
  BOOST_TEST((forecast.WaitForSlot(2, kStart) == 300ms));
  BOOST_TEST((forecast.WaitForSlot(2, kStart + 150ms) == 150ms));
  // An own request that takes longer than expected ends soon, not in the past.
  forecast.AddOwn(kStart, kStart + 1ms, 10);
  BOOST_TEST((forecast.WaitForSlot(1, kStart + 500ms) > 0ms));
}

BOOST_AUTO_TEST_CASE(LaterExpectedEndPostponesTheFreeSlot) {
  LoadForecast forecast;
  const std::uint32_t id = forecast.AddOwn(kStart, kStart + 100ms, 10);
  forecast.SetEnd(id, kStart + 700ms);
  BOOST_TEST((forecast.WaitForSlot(1, kStart) == 700ms));
}

// Guards against the loss of what was sent while the report was under way.
BOOST_AUTO_TEST_CASE(
    ReportReplacesWhatWasSentBeforeItAndKeepsWhatWasSentAfter) {
  LoadForecast forecast;
  for (int i = 0; i < 10; ++i) {
    forecast.AddOther(kStart, kStart + 2s + i * 1ms, 100);
  }
  forecast.AddOther(kStart + 500ms, kStart + 2s, 100);
  forecast.AddOwn(kStart + 501ms, kStart + 2s, 100);
  forecast.OnReport(4, kStart + 500ms);
  BOOST_TEST(forecast.Requests(kStart + 502ms) == 6);
  BOOST_TEST(forecast.Tokens(kStart + 502ms) == 600);
  // An older report that arrives later changes nothing.
  forecast.OnReport(0, kStart + 400ms);
  BOOST_TEST(forecast.Requests(kStart + 502ms) == 6);
}

// Guards against lost notices, and requests of instances that send none.
BOOST_AUTO_TEST_CASE(ReportedRequestsThatNoNoticeToldOfCountAndAreForgotten) {
  LoadForecast forecast;
  forecast.AddOther(kStart, kStart + 1s, 100);
  forecast.OnReport(20, kStart + 10ms);
  BOOST_TEST(forecast.Requests(kStart + 10ms) == 20);
  BOOST_TEST(forecast.Tokens(kStart + 10ms) > 1900);
  BOOST_TEST((forecast.WaitForSlot(20, kStart + 10ms) > 0ms));
  BOOST_TEST((forecast.WaitForSlot(20, kStart + 10ms) < 200ms));
  BOOST_TEST(forecast.Requests(kStart + 30s) == 0);
}

BOOST_AUTO_TEST_CASE(RequestThatIsReportedAfterItsExpectedEndStillRuns) {
  LoadForecast forecast;
  forecast.AddOther(kStart, kStart + 1s, 100);
  forecast.AddOther(kStart, kStart + 1s, 100);
  forecast.OnReport(1, kStart + 1100ms);
  BOOST_TEST(forecast.Requests(kStart + 1101ms) == 1);
  forecast.OnReport(0, kStart + 1150ms);
  BOOST_TEST(forecast.Requests(kStart + 1151ms) == 0);
  BOOST_TEST(forecast.Tokens(kStart + 1151ms) == 0);
}

BOOST_AUTO_TEST_CASE(MoreRequestsThanAreRememberedTakeNoMoreMemory) {
  LoadForecast forecast;
  for (std::size_t i = 0; i < 2 * LoadForecast::kMaxRequests; ++i) {
    forecast.AddOther(kStart, kStart + 10s, 1);
  }
  BOOST_TEST(forecast.Requests(kStart) ==
             static_cast<int>(LoadForecast::kMaxRequests));
  // Own requests are exact, so they replace those of others.
  const std::uint32_t id = forecast.AddOwn(kStart, kStart + 1s, 1);
  BOOST_TEST(id != 0U);
  for (std::size_t i = 1; i < LoadForecast::kMaxRequests; ++i) {
    forecast.AddOwn(kStart, kStart + 1s, 1);
  }
  BOOST_TEST(forecast.AddOwn(kStart, kStart + 1s, 1) == 0U);
  forecast.RemoveOwn(0);
  BOOST_TEST(forecast.Requests(kStart) ==
             static_cast<int>(LoadForecast::kMaxRequests));
}

// Guards against figures that contradict each other after any history.
BOOST_AUTO_TEST_CASE(FiguresAgreeAfterAnyHistory) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    LoadForecast forecast;
    std::vector<std::uint32_t> own;
    Instant now = kStart;
    for (int step = 0; step < 500; ++step) {
      now += Micros(random() % 40'000);
      const Instant end = now + Micros(random() % 3'000'000);
      switch (random() % 4) {
        case 0:
          own.push_back(forecast.AddOwn(now, end, 100));
          break;
        case 1:
          forecast.AddOther(now, end, 100);
          break;
        case 2:
          forecast.OnReport(static_cast<int>(random() % 40),
                            now - Micros(random() % 50'000));
          break;
        default:
          if (!own.empty()) {
            forecast.RemoveOwn(own.back());
            own.pop_back();
          }
      }
      const int requests = forecast.Requests(now);
      BOOST_REQUIRE(requests >= static_cast<int>(own.size()));
      BOOST_REQUIRE(forecast.Tokens(now) >=
                    static_cast<std::int64_t>(own.size()) * 100);
      const int slots = 1 + static_cast<int>(random() % 30);
      BOOST_REQUIRE((forecast.WaitForSlot(slots, now) > 0us) ==
                    (requests >= slots));
      BOOST_REQUIRE((forecast.TimeOfTokens(0, now) >= now));
    }
  }
}

}  // namespace
}  // namespace jackdaw::serving
