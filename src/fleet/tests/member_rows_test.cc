#include "fleet/member_rows.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(RowOfALiveMemberIsKept) {
  MemberRows rows;
  for (int second = 0; second < 200; ++second) {
    BOOST_TEST(rows.OnRow("a", second + 1, kStart + second * 1s));
  }
  BOOST_TEST(!rows.OnRow("a", 200, kStart + 200s));
  BOOST_TEST(rows.Old(kStart + 200s).empty());
}

BOOST_AUTO_TEST_CASE(RowWrittenLongBeforeItWasReadIsOld) {
  MemberRows rows;
  rows.OnRow("a", 5, kStart);
  rows.OnRow("b", 6, kStart);
  rows.SetWritten("a", kStart - 300s);
  const auto old = rows.Old(kStart);
  BOOST_TEST_REQUIRE(old.size() == 1U);
  BOOST_TEST(old.front().key == "a");
  BOOST_TEST(old.front().version == 5);
}

BOOST_AUTO_TEST_CASE(RowThatTheStoreBringsBackIsReadAnew) {
  MemberRows rows;
  rows.OnRow("a", 5, kStart);
  rows.Clear();
  BOOST_TEST(rows.OnRow("a", 3, kStart + 70s));
  BOOST_TEST(rows.Old(kStart + 100s).empty());
  BOOST_TEST(rows.Old(kStart + 140s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemovedRowsAreForgottenAndOneCallRemovesABoundedNumber) {
  MemberRows rows;
  for (int i = 0; i < 200; ++i) {
    rows.OnRow(std::to_string(i), i + 1, kStart);
  }
  const auto old = rows.Old(kStart + 100s);
  BOOST_TEST(2 * old.size() + 1 <= 100U);
  rows.Retain({"7"});
  BOOST_TEST(rows.Old(kStart + 100s).size() == 1U);
}

}  // namespace
}  // namespace jackdaw::serving
