// Tests that instances with large links are the first to take a free lease.
#include <boost/test/unit_test.hpp>

#include "fleet/leadership.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kLease = 3s;
constexpr Micros kWait = 400ms;

bool Acquires(const Leadership& own, Instant now) {
  return own.NextStep(now) == LeaseStep::kAcquire;
}

LeaderLease LeaseOf(std::string holder, bool released) {
  LeaderLease lease;
  lease.holder = std::move(holder);
  lease.boot_id = "b";
  lease.term = 7;
  lease.row_version = 5;
  lease.released = released;
  return lease;
}

BOOST_AUTO_TEST_CASE(OnlyInstancesWithSmallLinksWait) {
  BOOST_TEST((LeaseWait(std::nullopt, 0.9) == 0ms));
  BOOST_TEST((LeaseWait(100, 0.9) == 0ms));
  BOOST_TEST((LeaseWait(99, 0) > 0ms));
  BOOST_TEST((LeaseWait(10, 0) >= LeaseWait(99, 0.999)));
  BOOST_TEST((LeaseWait(0.1, 0.999) <= 500ms));
}

// A fleet of small links must lead soon all the same: the wait counts from when
// the lease was first seen free, not from each read of the table.
BOOST_AUTO_TEST_CASE(TheWaitEndsHoweverOftenTheRowIsRead) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease, kWait);
  for (Micros at = 0ms; at < kWait; at += 50ms) {
    own.OnLeaseRow(nullptr, kStart + at);
    BOOST_TEST(!Acquires(own, kStart + at));
    BOOST_TEST((own.WaitsUntil(kStart + at) == kStart + kWait));
  }
  BOOST_TEST(Acquires(own, kStart + kWait));
  BOOST_TEST(!own.WaitsUntil(kStart + kWait).has_value());
}

BOOST_AUTO_TEST_CASE(AReleasedOrExpiredLeaseIsLeftToOthersForTheWait) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease, kWait);
  const LeaderLease other = LeaseOf("z", false);
  own.OnLeaseRow(&other, kStart);
  const Instant end = kStart + kLease + 300ms;
  BOOST_TEST(!own.WaitsUntil(end).has_value());
  BOOST_TEST(!Acquires(own, end + 1ms));
  BOOST_TEST((own.WaitsUntil(end + 1ms) == end + kWait));
  BOOST_TEST(Acquires(own, end + kWait));
  Leadership late("a", "10.0.0.1:1", "boot", kLease, kWait);
  const LeaderLease released = LeaseOf("z", true);
  late.OnLeaseRow(&released, kStart);
  BOOST_TEST(!Acquires(late, kStart + kWait - 1ms));
  BOOST_TEST(Acquires(late, kStart + kWait));
}

BOOST_AUTO_TEST_CASE(AnInstanceTakesTheLeaseOfItsPreviousRunAtOnce) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease, kWait);
  const LeaderLease previous = LeaseOf("a", false);
  own.OnLeaseRow(&previous, kStart);
  BOOST_TEST(Acquires(own, kStart));
  BOOST_TEST(!own.WaitsUntil(kStart).has_value());
}

// A lease that another instance takes meanwhile begins the wait anew.
BOOST_AUTO_TEST_CASE(TheWaitBeginsAnewForTheNextFreeLease) {
  Leadership own("a", "10.0.0.1:1", "boot", kLease, kWait);
  own.OnLeaseRow(nullptr, kStart);
  LeaderLease taken = LeaseOf("z", false);
  own.OnLeaseRow(&taken, kStart + 100ms);
  BOOST_TEST(!Acquires(own, kStart + kWait));
  taken.released = true;
  ++taken.row_version;
  own.OnLeaseRow(&taken, kStart + 2s);
  BOOST_TEST(!Acquires(own, kStart + 2s + kWait - 1ms));
  BOOST_TEST(Acquires(own, kStart + 2s + kWait));
}

}  // namespace
}  // namespace jackdaw::serving
