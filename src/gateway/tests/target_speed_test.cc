#include "gateway/target_speed.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

// Plays measured times of a target for which work takes `permanent` times the
// usual time, and `momentary` times that at the moment.
void Play(TargetSpeed& speed, double permanent, bool reports_permanent) {
  Instant now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += 100ms;
    const double momentary = i % 2 == 0 ? 0.8 : 1.2;
    speed.OnReport(momentary * (reports_permanent ? permanent : 1), now);
    const double actual = permanent * momentary;
    const double expected = speed.Ratio(now);
    speed.OnMeasured(actual / expected, speed.Momentary(now), now);
  }
}

// Guards against an old report that makes a target look slow for long.
BOOST_AUTO_TEST_CASE(AReportLosesItsMeaningWithinASecond) {
  TargetSpeed speed;
  for (int i = 0; i < 100; ++i) {
    speed.OnReport(1, kStart + i * 100ms);
  }
  const Instant now = kStart + 10s;
  speed.OnReport(3, now);
  BOOST_TEST(speed.Ratio(now) == 3, boost::test_tools::tolerance(0.01));
  BOOST_TEST(speed.Ratio(now + 300ms) < 1.9);
  BOOST_TEST(speed.Ratio(now + 1500ms) < 1.1);
  // Work that takes longer is affected for a part of it.
  BOOST_TEST(speed.MeanRatio(now, 2s) < 1.4);
  BOOST_TEST(speed.MeanRatio(now, 0s) == speed.Ratio(now));
}

// Guards against a permanent ratio that counts twice where reports contain it,
// or not at all where they do not.
BOOST_AUTO_TEST_CASE(PermanentRatioIsLearnedWhetherReportsContainItOrNot) {
  for (const bool contains : {false, true}) {
    for (const double permanent : {0.6, 1.0, 1.6}) {
      TargetSpeed speed;
      Play(speed, permanent, contains);
      BOOST_TEST(speed.LongTermRatio() == permanent,
                 boost::test_tools::tolerance(0.05));
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportThatArrivesLateDoesNotReplaceANewerOne) {
  TargetSpeed speed;
  speed.OnReport(1.5, kStart);
  speed.OnReport(0.5, kStart - 50ms);
  BOOST_TEST(speed.Ratio(kStart) == 1.5);
}

// Guards against a change for targets that report no speed.
BOOST_AUTO_TEST_CASE(WithoutReportsOnlyMeasuredTimesCount) {
  TargetSpeed speed;
  double slowdown = 1;
  for (const double ratio : {2.0, 0.1, 30.0, 1.0}) {
    speed.OnMeasured(ratio, speed.Momentary(kStart), kStart);
    slowdown += 0.1 * (std::clamp(ratio * slowdown, 0.7, 6.0) - slowdown);
    BOOST_TEST(speed.Ratio(kStart + 5s) == slowdown,
               boost::test_tools::tolerance(1e-9));
  }
}

}  // namespace
}  // namespace jackdaw::serving
