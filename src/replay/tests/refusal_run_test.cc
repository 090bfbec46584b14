#include "replay/refusal_run.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

// Writes a second that the recorder may take of the store.
constexpr std::uint64_t kWriteBudget = 200;

RefusalRunShape Shape(std::uint64_t seed) {
  RefusalRunShape shape;
  shape.seed = seed;
  shape.instances = 12;
  shape.refusals_per_second = 40;
  shape.seconds = 60;
  shape.lose_put_answer_one_in = 4;
  return shape;
}

BOOST_AUTO_TEST_CASE(NothingIsLostOrDoubledByLostAnswers) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto result = RunRefusals(Shape(seed));
    BOOST_TEST(result.refused > 0U);
    BOOST_TEST(result.missing == 0U);
    BOOST_TEST(result.doubled == 0U);
    BOOST_TEST(result.peak_puts_per_second <= kWriteBudget);
  }
}

BOOST_AUTO_TEST_CASE(AnOutageLosesNothing) {
  RefusalRunShape shape = Shape(4);
  shape.outage_from_s = 10;
  shape.outage_to_s = 50;
  const auto result = RunRefusals(shape);
  BOOST_TEST(result.missing == 0U);
  BOOST_TEST(result.doubled == 0U);
}

BOOST_AUTO_TEST_CASE(ACrashLosesAtMostWhatIsTold) {
  for (std::uint64_t seed = 5; seed <= 7; ++seed) {
    RefusalRunShape shape = Shape(seed);
    shape.crashes = 4;
    shape.outage_from_s = 10;
    shape.outage_to_s = 30;
    const auto result = RunRefusals(shape);
    BOOST_TEST(result.doubled == 0U);
    BOOST_TEST(result.missing == result.missing_told);
    BOOST_TEST(result.stored > result.refused * 9 / 10);
  }
}

}  // namespace
}  // namespace jackdaw
