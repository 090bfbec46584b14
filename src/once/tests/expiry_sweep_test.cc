#include <boost/test/unit_test.hpp>
#include <set>

#include "once/expiry_sweep.h"
#include "once/intent_row.h"

namespace jackdaw {
namespace {

BOOST_AUTO_TEST_CASE(SweepCoversAllSlicesAndDeletesOnlyExpiredRows) {
  ExpirySweep sweep(7);
  std::set<std::string> prefixes;
  for (int i = 0; i < 4096; ++i) {
    prefixes.insert(sweep.NextPrefix());
  }
  BOOST_TEST(prefixes.size() == 4096U);
  const Instant now{100'000s};
  const auto row = [&](std::string key, IntentPhase phase, Micros age) {
    IntentRow intent{phase, "f", "r", now - age, {}};
    return Row{std::move(key), EncodeIntentRow(intent), 9};
  };
  const std::vector<Row> rows{row("a", IntentPhase::kDone, 11s),
                              row("b", IntentPhase::kDone, 9s),
                              row("c", IntentPhase::kPending, 11s),
                              row("d", IntentPhase::kNotRun, 3601s),
                              {"e", "not a row", 9}};
  const Transaction deletions = ExpirySweep::MakeDeletions(now, rows, 10s);
  BOOST_TEST_REQUIRE(deletions.writes.size() == 2U);
  BOOST_TEST(deletions.writes[0].key == "a");
  BOOST_TEST(deletions.writes[1].key == "d");
  BOOST_TEST(deletions.checks[1].version == 9U);
}

}  // namespace
}  // namespace jackdaw
