#include "gateway/model_waits.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kNow{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(CallersComeBackWhenTheModelHasBeenLoaded) {
  ModelWaits waits;
  const auto first = waits.OnMissing("s/m", 4s, kNow);
  BOOST_TEST(first.is_new);
  BOOST_TEST((first.come_back > kNow + 4s));
  // A later caller waits for the same load, not for one of its own.
  const auto later = waits.OnMissing("s/m", 4s, kNow + 2s);
  BOOST_TEST(!later.is_new);
  BOOST_TEST((later.come_back == first.come_back));
}

BOOST_AUTO_TEST_CASE(NobodyIsToldToComeBackAtOnce) {
  ModelWaits waits;
  for (Instant now = kNow; now < kNow + 30s; now += 100ms) {
    const auto wait = waits.OnMissing("s/m", 1200ms, now);
    BOOST_TEST((wait.come_back >= now + 500ms));
    BOOST_TEST((wait.come_back <= now + 5s));
  }
}

BOOST_AUTO_TEST_CASE(AModelThatWasNotAskedForLatelyIsNewAgain) {
  ModelWaits waits;
  waits.OnMissing("s/m", 1s, kNow);
  BOOST_TEST(!waits.OnMissing("s/m", 1s, kNow + 4s).is_new);
  BOOST_TEST(waits.OnMissing("s/n", 1s, kNow + 4s).is_new);
  BOOST_TEST(waits.OnMissing("s/m", 1s, kNow + 60s).is_new);
}

}  // namespace
}  // namespace jackdaw::serving
