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
