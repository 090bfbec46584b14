#include "quarantine/crash_tracker.h"

#include <boost/test/unit_test.hpp>

#include "quarantine/crash_row.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Instant kEnd = kStart + 600s;

BOOST_AUTO_TEST_CASE(TwoCrashesQuarantineADigestForAWhile) {
  CrashLedger ledger;
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kFree));
  ledger.OnCrash(kStart, "x", "t1", false, kEnd);
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kNeedsClaim));
  ledger.OnCrash(kStart, "x", "t1", false, kEnd);
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kNeedsClaim));
  ledger.OnCrash(kStart, "x", "t2", false, kEnd);
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kQuarantined));
  ledger.OnCleared("x");
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kQuarantined));
  BOOST_TEST((ledger.Check(kEnd, "x") == RunPermit::kFree));
}

BOOST_AUTO_TEST_CASE(AnUnjudgedBreakKeepsADigestFromRunningAgain) {
  CrashLedger ledger;
  ledger.OnDispatched("x", "t1");
  BOOST_TEST(ledger.RunningAt("x") == "t1");
  ledger.OnBroken("x");
  ledger.OnFinished("x", "t1");
  BOOST_TEST(ledger.Running("x"));
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kNeedsClaim));
  ledger.OnBreakJudged("x");
  BOOST_TEST(!ledger.Running("x"));
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kFree));
}

BOOST_AUTO_TEST_CASE(NoticesOfTwoInstancesJoin) {
  CrashLedger ledger;
  ledger.OnNotice(kStart, "x", Suspect{{"t1"}, kEnd, false});
  ledger.OnNotice(kStart, "x", Suspect{{"t2"}, kEnd, false});
  BOOST_TEST((ledger.Check(kStart, "x") == RunPermit::kQuarantined));
}

BOOST_AUTO_TEST_CASE(ACrashOfAClaimedRunQuarantinesWhateverItsTarget) {
  Suspect suspect{{"t1"}, kEnd, false};
  suspect.AddCrash("t1", true);
  BOOST_TEST(suspect.quarantined);
}

BOOST_AUTO_TEST_CASE(ARowReadsBackAsWritten) {
  CrashRow row;
  row.suspect = {{"t1"}, kEnd, false};
  row.claim = {"entry-1-7", "t2", kStart};
  const auto read = DecodeCrashRow(EncodeCrashRow(row));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().suspect.targets == row.suspect.targets);
  BOOST_TEST((read.value().suspect.until == kEnd));
  BOOST_TEST(read.value().claim.holder == "entry-1-7");
  BOOST_TEST((read.value().claim.until == kStart));
}

}  // namespace
}  // namespace jackdaw
