#include "membership/membership.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr Instant kNow{Micros(1'700'000'000'000'000)};

std::vector<InstanceEntry> ListOf(int count) {
  std::vector<InstanceEntry> entries;
  for (int i = 0; i < count; ++i) {
    InstanceEntry entry;
    entry.name = std::string(1, static_cast<char>('a' + i));
    entry.incarnation = 1;
    entries.push_back(entry);
  }
  return entries;
}

BOOST_AUTO_TEST_CASE(ASilentInstanceIsSuspectUntilItsNextHeartbeat) {
  Membership b("b", 1);
  b.OnList(kNow, ListOf(5));
  b.NextRound(kNow + 3s);
  BOOST_TEST((b.StateOf("a") == MemberState::kSuspect));
  // This instance does not watch c.
  BOOST_TEST((b.StateOf("c") == MemberState::kLive));
  BOOST_TEST(!b.IsOffered("a"));
  b.OnHeartbeat(kNow + 3s, "a", 1, false, 9);
  BOOST_TEST(b.IsOffered("a"));
  // A suspicion with an older heartbeat number is ignored.
  b.OnUpdate(kNow + 3s, {"a", 1, true, 8});
  BOOST_TEST(b.IsOffered("a"));
  b.OnUpdate(kNow + 3s, {"a", 1, true, 9});
  BOOST_TEST(!b.IsOffered("a"));
}

BOOST_AUTO_TEST_CASE(ASuspectRefutesWithAHigherHeartbeatNumber) {
  Membership a("a", 1);
  a.OnList(kNow, ListOf(5));
  a.OnUpdate(kNow, {"a", 1, true, 40});
  a.NextRound(kNow);
  const auto updates = a.UpdatesToSend();
  BOOST_TEST_REQUIRE(updates.size() == 1U);
  BOOST_TEST(!updates[0].suspect);
  BOOST_TEST(updates[0].beat == 41U);
}

BOOST_AUTO_TEST_CASE(OnlyThePlatformListMarksAnInstanceGone) {
  Membership b("b", 1);
  b.OnList(kNow, ListOf(3));
  b.NextRound(kNow + 60s);
  BOOST_TEST(!b.IsGone("a", 1));
  auto entries = ListOf(3);
  entries[0].incarnation = 2;
  b.OnList(kNow + 60s, entries);
  BOOST_TEST(b.IsGone("a", 1));
  BOOST_TEST(!b.IsGone("a", 2));
  entries.erase(entries.begin());
  b.OnList(kNow + 60s, entries);
  BOOST_TEST(b.IsGone("a", 2));
  BOOST_TEST((b.StateOf("a") == MemberState::kGone));
}

BOOST_AUTO_TEST_CASE(ALeavingInstanceIsNeverOffered) {
  Membership b("b", 1);
  b.OnList(kNow, ListOf(3));
  b.OnHeartbeat(kNow, "a", 1, true, 1);
  BOOST_TEST(!b.IsOffered("a"));
  // The list does not yet show what the instance itself has announced.
  b.OnList(kNow + 1s, ListOf(3));
  BOOST_TEST((b.StateOf("a") == MemberState::kLeaving));
}

BOOST_AUTO_TEST_CASE(AnIsolatedInstanceOffersAllInstances) {
  Membership b("b", 1);
  b.OnList(kNow, ListOf(3));
  b.NextRound(kNow + 10s);
  BOOST_TEST((b.StateOf("a") == MemberState::kSuspect));
  BOOST_TEST((b.StateOf("c") == MemberState::kSuspect));
  BOOST_TEST(b.IsOffered("a"));
}

}  // namespace
}  // namespace jackdaw
