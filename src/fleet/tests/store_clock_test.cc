#include "fleet/store_clock.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeTheFirstAnswer) {
  const StoreClock clock;
  BOOST_TEST(!clock.At(kStart).known());
  BOOST_TEST(!clock.ToLocal({0, 7}, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(AgeOfAMarkIsTheSameAtAnotherInstance) {
  StoreClock writer;
  StoreClock reader;
  // The clocks of the two machines differ by a minute.
  writer.OnAnswer({0, 5000}, kStart);
  reader.OnAnswer({0, 5000}, kStart + 60s);
  const StoreTime mark = writer.At(kStart + 2s);
  const auto local = reader.ToLocal(mark, kStart + 70s);
  BOOST_TEST_REQUIRE(local.has_value());
  BOOST_TEST((kStart + 70s - *local == 8s));
}

BOOST_AUTO_TEST_CASE(SlowAnswerDoesNotPutTheClockBack) {
  StoreClock clock;
  clock.OnAnswer({0, 5000}, kStart);
  clock.OnAnswer({0, 6000}, kStart + 3s);
  BOOST_TEST(clock.At(kStart + 3s).ms == 8000);
}

BOOST_AUTO_TEST_CASE(MarkOfAnotherEpochHasNoAge) {
  StoreClock clock;
  clock.OnAnswer({1, 5000}, kStart);
  const StoreTime mark = clock.At(kStart);
  clock.OnAnswer({2, 1000}, kStart + 1s);
  BOOST_TEST(!clock.ToLocal(mark, kStart + 1s).has_value());
  BOOST_TEST(clock.At(kStart + 1s).ms == 1000);
  clock.OnAnswer({1, 9000}, kStart + 2s);
  BOOST_TEST(clock.At(kStart + 2s).ms == 2000);
}

}  // namespace
}  // namespace jackdaw::serving
