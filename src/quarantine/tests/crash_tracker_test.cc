#include "quarantine/crash_tracker.h"

#include <boost/test/unit_test.hpp>

#include "quarantine/crash_row.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Instant kEnd = kStart + 600s;

BOOST_AUTO_TEST_CASE(TwoCrashesQuarantineADigestForAWhile) {
  CrashTracker tracker;
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kAllowed));
  tracker.OnCrash(kStart, "x", "t1", false, kEnd);
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kNeedsClaim));
  tracker.OnCrash(kStart, "x", "t1", false, kEnd);
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kNeedsClaim));
  tracker.OnCrash(kStart, "x", "t2", false, kEnd);
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kQuarantined));
  tracker.OnCleared("x");
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kQuarantined));
  BOOST_TEST((tracker.Check(kEnd, "x") == DispatchPermit::kAllowed));
}

BOOST_AUTO_TEST_CASE(AnUnresolvedBreakNeedsAClaimToRunAgain) {
  CrashTracker tracker;
  tracker.OnDispatched("x", "t1");
  BOOST_TEST(tracker.RunningTarget("x") == "t1");
  tracker.OnConnectionBroken("x");
  tracker.OnFinished("x", "t1");
  BOOST_TEST(tracker.IsRunning("x"));
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kNeedsClaim));
  tracker.OnDisconnectAssessed("x");
  BOOST_TEST(!tracker.IsRunning("x"));
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kAllowed));
}

BOOST_AUTO_TEST_CASE(NoticesOfTwoInstancesJoin) {
  CrashTracker tracker;
  tracker.OnNotice(kStart, "x", Suspect{{"t1"}, kEnd, false});
  tracker.OnNotice(kStart, "x", Suspect{{"t2"}, kEnd, false});
  BOOST_TEST((tracker.Check(kStart, "x") == DispatchPermit::kQuarantined));
}

BOOST_AUTO_TEST_CASE(ACrashUnderAClaimQuarantinesAtOnce) {
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
