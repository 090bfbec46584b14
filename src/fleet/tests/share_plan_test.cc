#include "fleet/share_plan.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "core/random.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

Member MemberOf(const std::string& name,
                std::int64_t heartbeat_number,
                std::int64_t epoch) {
  Member member;
  member.name = name;
  member.boot_id = "b";
  member.heartbeat_number = heartbeat_number;
  member.state = MemberState::kReady;
  member.shares_epoch = epoch;
  return member;
}

double Sum(const ShareTable& table) {
  double sum = 0;
  for (const ShareEntry& entry : table.entries) {
    sum += entry.bound;
  }
  return sum;
}

BOOST_AUTO_TEST_CASE(ATableThatGivesOutMoreThanTheWholeIsRejected) {
  const auto decode = [](std::string_view entries,
                         std::string_view epoch = "1") {
    return DecodeShares(R"({"epoch":)" + std::string(epoch) +
                        R"(,"entries":[)" + std::string(entries) + "]}");
  };
  BOOST_TEST(
      decode(R"({"name":"a","share":1,"bound":1000000000})").has_value());
  // More than the whole, more than its bound, one instance twice.
  for (
      const char* entries :
      {R"({"name":"a","share":1,"bound":1000000000},{"name":"b","share":1,"bound":9000000})",
       R"({"name":"a","share":2,"bound":1})",
       R"({"name":"a","share":1,"bound":1},{"name":"a","share":1,"bound":1})"}) {
    BOOST_TEST(!decode(entries).has_value(), entries);
  }
  BOOST_TEST(!decode("", "9223372036854775807").has_value());
}

BOOST_AUTO_TEST_CASE(ANewMemberGetsItsShareOnlyAfterTheOthersLoweredTheirs) {
  MemberTable members;
  members.OnRows({MemberOf("a", 1, 0), MemberOf("b", 1, 0)}, kStart);
  ShareTable table = PlanShares({}, members, kStart);
  BOOST_TEST(table.Find("a")->share == 0.5);
  members.OnRows({MemberOf("a", 2, table.epoch), MemberOf("b", 2, table.epoch),
                  MemberOf("c", 1, 0)},
                 kStart + 1s);
  table = PlanShares(table, members, kStart + 1s);
  BOOST_TEST(table.Find("c")->share < 1e-6);
  BOOST_TEST(table.Find("a")->share < 0.34);
  members.OnRows(
      {MemberOf("a", 3, table.epoch), MemberOf("b", 3, table.epoch - 1),
       MemberOf("c", 2, table.epoch)},
      kStart + 2s);
  // Only `a` has applied its lower share, so only that difference is free.
  table = PlanShares(table, members, kStart + 2s);
  BOOST_TEST(table.Find("c")->share > 0.16);
  BOOST_TEST(table.Find("c")->share < 0.17);
}

// In a rolling stop several instances drain at once. Their shares must go to
// the others, so that the whole quota stays usable.
BOOST_AUTO_TEST_CASE(TheShareOfADrainingMemberGoesToTheOthers) {
  MemberTable members;
  members.OnRows({MemberOf("a", 1, 0), MemberOf("b", 1, 0)}, kStart);
  ShareTable table = PlanShares({}, members, kStart);
  Member leaving = MemberOf("b", 2, table.epoch);
  leaving.state = MemberState::kDraining;
  members.OnRows({MemberOf("a", 2, table.epoch), leaving}, kStart + 1s);
  table = PlanShares(table, members, kStart + 1s);
  BOOST_TEST(table.Find("b")->share == 0);
  BOOST_TEST(table.Find("a")->share == 0.5);
  leaving.heartbeat_number = 3;
  leaving.shares_epoch = table.epoch;
  members.OnRows({MemberOf("a", 3, table.epoch), leaving}, kStart + 2s);
  table = PlanShares(table, members, kStart + 2s);
  BOOST_TEST(table.Find("a")->share == 1.0);
}

BOOST_AUTO_TEST_CASE(ASilentMemberKeepsItsShareUntilItHasDroppedIt) {
  MemberTable members;
  members.OnRows({MemberOf("a", 1, 0), MemberOf("b", 1, 0)}, kStart);
  ShareTable table = PlanShares({}, members, kStart);
  const auto read = [&](Instant at, std::int64_t heartbeat_number) {
    members.OnRows(
        {MemberOf("a", heartbeat_number, table.epoch), MemberOf("b", 1, 1)},
        at);
    table = PlanShares(table, members, at);
  };
  read(kStart + 10s, 2);
  BOOST_TEST(table.Find("a")->share == 0.5);
  read(kStart + kShareReclaimTimeout + 1s, 3);
  BOOST_TEST(table.Find("a")->share == 1.0);
  static_assert(kShareDropTimeout < kShareReclaimTimeout);
}

// Members join, leave, fall silent, restart and apply tables late. The shares
// that they use must never exceed one in total.
BOOST_AUTO_TEST_CASE(SharesNeverExceedOneInRandomHistories) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Random random(seed);
    struct Holder {
      ShareTable seen;
      double held = 0;
      std::int64_t epoch = 0;
      std::int64_t heartbeat_number = 0;
    };
    std::map<std::string, Holder> holders;
    std::map<std::string, Member> rows;
    ShareTable table;
    Instant now = kStart;
    for (int step = 0; step < 400; ++step) {
      now += 500ms;
      const std::string name(1, static_cast<char>('a' + random.Below(6)));
      Holder& holder = holders[name];
      if (random.OneIn(3)) {
        holder.seen = table;
      } else if (random.OneIn(2)) {
        const ShareEntry* own = holder.seen.Find(name);
        if (holder.seen.epoch >= holder.epoch) {
          holder.held = own == nullptr ? 0 : own->share;
          holder.epoch = holder.seen.epoch;
        }
      } else {
        rows[name] = MemberOf(name, ++holder.heartbeat_number, holder.epoch);
      }
      MemberTable members;
      std::vector<Member> read;
      read.reserve(rows.size());
      for (const auto& [key, row] : rows) {
        read.push_back(row);
      }
      members.OnRows(read, now);
      table = PlanShares(table, members, now);
      double sum = 0;
      for (const auto& [key, other] : holders) {
        sum += other.held;
      }
      BOOST_REQUIRE_LE(sum, 1.0 + 1e-5);
      BOOST_REQUIRE_LE(Sum(table), 1.0 + 1e-5);
    }
  }
}

BOOST_AUTO_TEST_CASE(TheTableReadsBackAsWritten) {
  ShareTable table;
  table.epoch = 9;
  table.entries = {{"a", 0.25, 0.5}, {"b", 0.5, 0.5}};
  const auto read = DecodeShares(EncodeShares(table));
  BOOST_REQUIRE(read);
  BOOST_TEST((read.value().entries == table.entries));
  BOOST_TEST(!DecodeShares("[]"));
}

}  // namespace
}  // namespace jackdaw::serving
