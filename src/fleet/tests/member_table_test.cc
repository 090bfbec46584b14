#include "fleet/member_table.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

Member MemberOf(const std::string& name) {
  Member member;
  member.name = name;
  member.entry = ParseEndpoint("127.0.0.1:7").value();
  member.peer = member.entry;
  member.boot_id = "b";
  member.heartbeat_number = 1;
  member.state = MemberState::kReady;
  return member;
}

BOOST_AUTO_TEST_CASE(HolderOfPartsIsNotNamedByTheAddressThatItOnceHad) {
  MemberTable members;
  members.OnHeartbeat(MemberOf("gone"), kStart);
  const Instant later = kStart + 30s;
  BOOST_TEST(members.Ready(later).empty());
  members.ForgetReports();
  FleetMember holder;
  holder.name = "gone";
  members.AddExpected(holder, later);
  BOOST_TEST(members.Ready(later).empty());
}

// Returns the same state as sent by a later heartbeat of the run.
Member Later(Member member) {
  ++member.heartbeat_number;
  return member;
}

FleetView ViewOf(std::initializer_list<std::string> names) {
  FleetView view;
  view.id = "v/1";
  for (const std::string& name : names) {
    const Member member = MemberOf(name);
    view.members.push_back(
        {name, member.entry, member.peer, "a", MemberState::kReady});
  }
  return view;
}

BOOST_AUTO_TEST_CASE(RowIsAsOldAsItWasWrittenHoweverLateItIsRead) {
  MemberTable members;
  members.OnReport(MemberOf("a"), LifeSign::kRow, kStart, kStart + 3s);
  BOOST_TEST(members.Ready(kStart + 3s).size() == 1U);
  BOOST_TEST(members.Ready(kStart + 4s).empty());
  // It may live, as nothing newer was learned.
  BOOST_TEST(members.MayLive(kStart + 4s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RowOfUnknownAgeDoesNotReplaceThatOfALaterRun) {
  MemberTable members;
  Member restarted = MemberOf("a");
  restarted.boot_id = "later";
  BOOST_TEST(members.OnHeartbeat(restarted, kStart));
  BOOST_TEST(
      !members.OnReport(MemberOf("a"), LifeSign::kRow, Instant{}, kStart + 1s));
  BOOST_TEST(members.Find("a")->member.boot_id == "later");
}

BOOST_AUTO_TEST_CASE(RowOfAnEarlierRunDoesNotReplaceThatOfALaterOne) {
  MemberTable members;
  Member restarted = MemberOf("a");
  restarted.boot_id = "later";
  restarted.sent_at = {1, 5000};
  Member earlier = MemberOf("a");
  earlier.sent_at = {1, 4000};
  members.OnReport(restarted, LifeSign::kRow, kStart, kStart);
  BOOST_TEST(
      !members.OnReport(earlier, LifeSign::kRow, kStart - 1s, kStart + 1s));
  BOOST_TEST(members.OnHeartbeat(Later(restarted), kStart + 2s));
}

BOOST_AUTO_TEST_CASE(SilenceIsHandedOnWithTheView) {
  MemberTable leader;
  leader.OnHeartbeat(MemberOf("gone"), kStart);
  leader.OnHeartbeat(MemberOf("a"), kStart + 3s);
  const Instant told_at = kStart + 3400ms;
  const auto silent = leader.Silent(told_at);
  BOOST_TEST_REQUIRE(silent.size() == 1U);
  MemberTable follower;
  follower.OnView(ViewOf({"a", "gone"}), silent, told_at);
  BOOST_TEST(follower.Ready(told_at).size() == 2U);
  // The leader has ended, and the follower becomes the next one.
  follower.AddExpected(ViewOf({"gone"}).members.front(), told_at + 200ms);
  const auto ready = follower.Ready(told_at + 200ms);
  BOOST_TEST_REQUIRE(ready.size() == 1U);
  BOOST_TEST(ready.front()->member.name == "a");
  BOOST_TEST(follower.Ready(told_at + 4s).empty());
}

BOOST_AUTO_TEST_CASE(MemberThatTheLeaderDroppedIsDroppedByItsFollowers) {
  MemberTable members;
  members.OnView(ViewOf({"a", "b"}), {}, kStart);
  members.OnView(ViewOf({"a"}), {}, kStart + 1s);
  const auto ready = members.Ready(kStart + 1s);
  BOOST_TEST_REQUIRE(ready.size() == 1U);
  BOOST_TEST(ready.front()->member.name == "a");
}

}  // namespace
}  // namespace jackdaw::serving
