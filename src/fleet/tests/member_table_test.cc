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

}  // namespace
}  // namespace jackdaw::serving
