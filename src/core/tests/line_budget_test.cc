#include "core/line_budget.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(LinesOfOneKindAreBoundedAndTheRestIsCounted) {
  LineBudget budget(3);
  int written = 0;
  for (int i = 0; i < 10; ++i) {
    written += budget.Allow("request", kStart) ? 1 : 0;
  }
  BOOST_TEST(written == 3);
  BOOST_TEST(budget.Allow("target", kStart));
  BOOST_TEST(budget.Allow("request", kStart + 1s));
  const auto dropped = budget.TakeDropped(kStart + 1s);
  BOOST_REQUIRE(dropped.size() == 1U);
  BOOST_TEST(dropped[0].kind == "request");
  BOOST_TEST(dropped[0].count == 7);
  BOOST_TEST(budget.TakeDropped(kStart + 2s).empty());
}

}  // namespace
}  // namespace jackdaw
