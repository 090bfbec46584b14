#include "fleet/leadership.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kLease = 3s;

LeaderLease LeaseOf(std::string holder, std::int64_t version) {
  LeaderLease lease;
  lease.holder = std::move(holder);
  lease.boot_id = "b";
  lease.term = 7;
  lease.row_version = version;
  return lease;
}

BOOST_AUTO_TEST_CASE(AVacantLeaseIsAcquiredAndOrdersMayBeSentAtOnce) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  BOOST_TEST(static_cast<int>(own.NextStep(kStart)) ==
             static_cast<int>(LeaseStep::kNone));
  own.OnLeaseRow(nullptr, kStart);
  BOOST_TEST(static_cast<int>(own.NextStep(kStart)) ==
             static_cast<int>(LeaseStep::kAcquire));
  own.OnApplied(own.Proposal(LeaseStep::kAcquire), kStart);
  BOOST_TEST(own.MaySendOrders(kStart + 1ms));
  BOOST_TEST(own.term() == 1);
}

BOOST_AUTO_TEST_CASE(OrdersStopHalfALeaseAfterTheRenewal) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  own.OnLeaseRow(nullptr, kStart);
  own.OnApplied(own.Proposal(LeaseStep::kAcquire), kStart);
  BOOST_TEST(own.MaySendOrders(kStart + kLease / 2 - 1ms));
  BOOST_TEST(!own.MaySendOrders(kStart + kLease / 2));
}

BOOST_AUTO_TEST_CASE(ASuccessorWaitsUntilNoOrderOfTheLastHolderIsInFlight) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  const LeaderLease other = LeaseOf("z", 5);
  own.OnLeaseRow(&other, kStart);
  BOOST_TEST(static_cast<int>(own.NextStep(kStart + kLease)) ==
             static_cast<int>(LeaseStep::kNone));
  const Instant expired = kStart + kLease + 301ms;
  BOOST_TEST(static_cast<int>(own.NextStep(expired)) ==
             static_cast<int>(LeaseStep::kAcquire));
  own.OnApplied(own.Proposal(LeaseStep::kAcquire), expired);
  BOOST_TEST(own.term() == 8);
  // The previous holder sent its last order up to half a lease time after its
  // renewal; the first order here follows at least a whole lease time later.
  BOOST_TEST(!own.MaySendOrders(kStart + kLease / 2 + kLease));
}

BOOST_AUTO_TEST_CASE(AReleasedLeaseIsAcquiredAtOnceAndOrdersWaitOneLease) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  LeaderLease released = LeaseOf("z", 5);
  released.released = true;
  own.OnLeaseRow(&released, kStart);
  BOOST_TEST(static_cast<int>(own.NextStep(kStart)) ==
             static_cast<int>(LeaseStep::kAcquire));
  own.OnApplied(own.Proposal(LeaseStep::kAcquire), kStart);
  BOOST_TEST(!own.MaySendOrders(kStart + 1s));
  own.OnApplied(own.Proposal(LeaseStep::kRenew), kStart + 3s);
  BOOST_TEST(!own.MaySendOrders(kStart + kLease));
  BOOST_TEST(own.MaySendOrders(kStart + kLease + 400ms));
}

BOOST_AUTO_TEST_CASE(AnObservedRenewalPreventsTakeover) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  for (int i = 0; i < 10; ++i) {
    const LeaderLease other = LeaseOf("z", 5 + i);
    own.OnLeaseRow(&other, kStart + i * 2s);
    BOOST_TEST(static_cast<int>(own.NextStep(kStart + i * 2s + 1999ms)) ==
               static_cast<int>(LeaseStep::kNone));
  }
}

BOOST_AUTO_TEST_CASE(AnUnchangedRowDoesNotCountAsARenewal) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  const LeaderLease other = LeaseOf("z", 5);
  own.OnLeaseRow(&other, kStart);
  own.OnLeaseRow(&other, kStart + 3s);
  BOOST_TEST(static_cast<int>(own.NextStep(kStart + kLease + 301ms)) ==
             static_cast<int>(LeaseStep::kAcquire));
}

BOOST_AUTO_TEST_CASE(ARestartedHolderReacquiresItsLeaseAtOnceUnderANewTerm) {
  Leadership own("z", "10.0.0.1:1", "boot", kLease);
  const LeaderLease before = LeaseOf("z", 5);
  own.OnLeaseRow(&before, kStart);
  BOOST_TEST(static_cast<int>(own.NextStep(kStart)) ==
             static_cast<int>(LeaseStep::kAcquire));
  own.OnApplied(own.Proposal(LeaseStep::kAcquire), kStart);
  BOOST_TEST(own.term() == 8);
  BOOST_TEST(own.MaySendOrders(kStart + 1ms));
}

// Guards against a machine that the directory names again after it has gone: a
// new leader confirms the view of the last one, which it did not make (DRAIN).
BOOST_AUTO_TEST_CASE(AcquisitionDoesNotConfirmTheViewOfTheLastLeader) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  LeaderLease other = LeaseOf("z", 5);
  other.renewed_at = {0, 70'000};
  other.silent = {{"gone", 2s}};
  own.OnLeaseRow(&other, kStart);
  const ViewConfirmation now{{0, 75'000}, {}};
  const LeaderLease acquired = own.Proposal(LeaseStep::kAcquire, now);
  BOOST_TEST(acquired.renewed_at.ms == 70'000);
  BOOST_TEST(acquired.silent.size() == 1U);
  own.OnApplied(acquired, kStart + 4s);
  const LeaderLease renewed = own.Proposal(LeaseStep::kRenew, now);
  BOOST_TEST(renewed.renewed_at.ms == 75'000);
  BOOST_TEST(renewed.silent.empty());
}

BOOST_AUTO_TEST_CASE(TimeOfAnEarlierEpochOfTheStoreConfirmsNoView) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  LeaderLease other = LeaseOf("z", 5);
  other.renewed_at = {0, 70'000};
  own.OnLeaseRow(&other, kStart, 1);
  BOOST_TEST(
      !own.Proposal(LeaseStep::kAcquire, {{1, 9'000}, {}}).renewed_at.known());
}

// An instance writes an acquisition after the lease of another has expired, and
// reads the row that it wrote.
struct UnansweredAcquisition {
  Leadership own{"a", "10.0.0.1:1", "boot", kLease};
  Instant sent_at = kStart + kLease + 301ms;

  UnansweredAcquisition() {
    const LeaderLease other = LeaseOf("z", 5);
    own.OnLeaseRow(&other, kStart);
  }
  // @returns whether the instance notices its acquisition
  bool SendAndRead(Instant read_at) {
    LeaderLease written = own.Proposal(LeaseStep::kAcquire);
    own.OnSent(written, sent_at);
    written.row_version = 6;
    return own.OnLeaseRow(&written, read_at);
  }
};

// Guards against orders beside those of the last leader after the answer to the
// write that took the lease was lost (ONE), and against leaving out what else
// belongs to an acquisition, such as the parts of quotas that others hold.
BOOST_AUTO_TEST_CASE(AcquisitionWithoutAnAnswerIsNoticedAndOrdersWait) {
  UnansweredAcquisition lost;
  BOOST_TEST(!lost.own.HoldsLease());
  BOOST_TEST(lost.SendAndRead(lost.sent_at + 900ms));
  BOOST_TEST(lost.own.HoldsLease());
  BOOST_TEST(!lost.own.MaySendOrders(lost.sent_at + 900ms));
  // It is renewed at once, and by then no order may be sent yet.
  BOOST_TEST(static_cast<int>(lost.own.NextStep(lost.sent_at + 900ms)) ==
             static_cast<int>(LeaseStep::kRenew));
  const Instant last_order = kStart + kLease / 2 + kLease;
  for (Instant now = lost.sent_at + 900ms; now < kStart + 3 * kLease;
       now += 700ms) {
    LeaderLease renewed = lost.own.Proposal(LeaseStep::kRenew);
    lost.own.OnSent(renewed, now);
    lost.own.OnApplied(renewed, now);
    BOOST_TEST(lost.own.MaySendOrders(now + 1ms) == (now > last_order + 300ms));
  }
}

BOOST_AUTO_TEST_CASE(AcquisitionIsNoticedOnceHoweverOftenItsRowIsRead) {
  UnansweredAcquisition lost;
  BOOST_TEST(lost.SendAndRead(lost.sent_at + 900ms));
  LeaderLease again = lost.own.lease();
  BOOST_TEST(!lost.own.OnLeaseRow(&again, lost.sent_at + 2s));
  again.row_version = 7;
  ++again.renewals;
  BOOST_TEST(!lost.own.OnLeaseRow(&again, lost.sent_at + 3s));
  BOOST_TEST(lost.own.HoldsLease());
}

// The store may apply a write seconds after it was given up. The lease counts
// from the first try, as nobody knows which of them was applied.
BOOST_AUTO_TEST_CASE(AcquisitionAppliedLateCountsFromItsFirstTry) {
  UnansweredAcquisition lost;
  const LeaderLease first = lost.own.Proposal(LeaseStep::kAcquire);
  lost.own.OnSent(first, lost.sent_at);
  const LeaderLease unchanged = LeaseOf("z", 5);
  BOOST_TEST(!lost.own.OnLeaseRow(&unchanged, lost.sent_at + 900ms));
  lost.own.OnSent(lost.own.Proposal(LeaseStep::kAcquire), lost.sent_at + 1s);
  LeaderLease applied = first;
  applied.row_version = 6;
  BOOST_TEST(lost.own.OnLeaseRow(&applied, lost.sent_at + 2s));
  BOOST_TEST(!lost.own.MaySendOrders(lost.sent_at + 2s));
}

// Guards against orders by two instances after the answer to a release was
// lost: another may lead as soon as the release is applied.
BOOST_AUTO_TEST_CASE(NoOrderIsSentOnceAReleaseIsOnItsWay) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  own.OnLeaseRow(nullptr, kStart);
  own.OnApplied(own.Proposal(LeaseStep::kAcquire), kStart);
  BOOST_TEST(own.MaySendOrders(kStart + 10ms));
  LeaderLease released = own.Proposal(LeaseStep::kRenew);
  released.released = true;
  own.OnSent(released, kStart + 20ms);
  BOOST_TEST(!own.MaySendOrders(kStart + 20ms));
  BOOST_TEST(own.IsReleasing());
  // Not answered, so it is sent again.
  BOOST_TEST(own.HoldsLease());
}

BOOST_AUTO_TEST_CASE(ALeaseFromBeforeARestoreIsNotHeldAndItsTermNotReused) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease);
  own.OnLeaseRow(nullptr, kStart);
  LeaderLease lease = own.Proposal(LeaseStep::kAcquire);
  lease.row_version = 90;
  own.OnApplied(lease, kStart);
  lease.row_version = 50;
  own.OnLeaseRow(&lease, kStart + 1s, 1);
  BOOST_TEST(!own.HoldsLease());
  BOOST_TEST(static_cast<int>(own.NextStep(kStart + 1s)) ==
             static_cast<int>(LeaseStep::kAcquire));
  const LeaderLease next = own.Proposal(LeaseStep::kAcquire);
  BOOST_TEST(next.term > 1000);
  own.OnApplied(next, kStart + 1s);
  BOOST_TEST(own.HoldsLease());
  // Another instance may have led in the seconds that the store has lost.
  BOOST_TEST(!own.MaySendOrders(kStart + 1s + kLease));
}

}  // namespace
}  // namespace jackdaw::serving
