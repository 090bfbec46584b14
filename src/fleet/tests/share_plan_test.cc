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
        rows[name].share = holder.held;
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

// Returns a fleet of which `a` and `b` share the quotas, while the store came
// back with the table from when there were four.
struct OlderTable {
  ShareTable table;
  MemberTable members;

  OlderTable() {
    table.epoch = 10;
    for (const char* name : {"a", "b", "c", "d"}) {
      table.entries.push_back({name, 0.25, 0.25});
      FleetMember expected;
      expected.name = name;
      members.AddExpected(expected, kStart);
    }
  }

  void OnHeartbeat(const std::string& name, std::int64_t epoch, double share) {
    Member member = MemberOf(name, ++beats, epoch);
    member.share = share;
    members.OnHeartbeat(member, now);
  }

  /// Returns the sum of what members hold that apply the next table, and of
  /// what `others` hold that have not heard of it.
  double HeldAfterPlan(std::initializer_list<std::string_view> appliers,
                       double others) {
    const ShareTable next = PlanShares(table, members, now, kFirstEpoch);
    BOOST_TEST(next.epoch >= kFirstEpoch);
    for (const std::string_view name : appliers) {
      const ShareEntry* entry = next.Find(name);
      others += entry == nullptr ? 0 : entry->share;
    }
    return others;
  }

  static constexpr std::int64_t kFirstEpoch = 1000;
  /// Those that were not heard by then are no longer waited for.
  Instant now = kStart + 4s;
  std::int64_t beats = 0;
};

// Guards against a quota that is spent twice after the store came back older.
BOOST_AUTO_TEST_CASE(SharesOfAnOlderTableAreNotAddedToThoseThatMembersHold) {
  OlderTable restored;
  restored.OnHeartbeat("a", 12, 0.5);
  restored.OnHeartbeat("b", 12, 0.5);
  // Restarted; they have read the older table and hold nothing.
  restored.OnHeartbeat("c", 10, 0);
  restored.OnHeartbeat("d", 10, 0);
  BOOST_TEST(restored.HeldAfterPlan({"c", "d"}, 0.5 + 0.5) <= 1.0 + 1e-6);
}

// Guards against the same for a holder that is cut off from the new leader.
BOOST_AUTO_TEST_CASE(SharesAreNotRaisedBesideAnUnheardHolderOfAnUnknownShare) {
  OlderTable restored;
  restored.OnHeartbeat("a", 0, 0);
  restored.OnHeartbeat("c", 10, 0);
  restored.OnHeartbeat("d", 10, 0);
  BOOST_TEST(restored.HeldAfterPlan({"a", "c", "d"}, 1.0) <= 1.0 + 1e-6);
}

BOOST_AUTO_TEST_CASE(SharesArePlannedFromAnOlderTableOnceLiveMembersAreHeard) {
  OlderTable restored;
  restored.now = kStart + 1s;
  restored.OnHeartbeat("a", 12, 0.5);
  BOOST_TEST(PlanShares(restored.table, restored.members, restored.now,
                        OlderTable::kFirstEpoch)
                 .epoch == restored.table.epoch);
  restored.OnHeartbeat("b", 12, 0.5);
  restored.OnHeartbeat("c", 10, 0);
  restored.OnHeartbeat("d", 10, 0);
  BOOST_TEST(restored.HeldAfterPlan({"a", "b"}, 0) > 0.5 - 1e-6);
}

// Members restart, are cut off and apply tables late, while the store comes
// back with older tables, to a leader that knows no more than these.
BOOST_AUTO_TEST_CASE(SharesNeverExceedOneWhenTheStoreComesBackOlder) {
  struct Holder {
    double held = 0;
    std::int64_t epoch = 0;
    std::int64_t first_epoch = 0;
    std::int64_t beats = 0;
    int cut_until = 0;
  };
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Random random(seed);
    std::map<std::string, Holder> holders;
    MemberTable members;
    std::vector<ShareTable> tables(1);
    std::int64_t first_epoch = 0;
    Instant now = kStart;
    const auto apply = [&](const std::string& name) {
      Holder& holder = holders[name];
      if (tables.back().epoch >= holder.epoch) {
        holder.held =
            ShareToApply(tables.back(), name, holder.held, holder.first_epoch);
        holder.epoch = tables.back().epoch;
      }
    };
    for (int step = 0; step < 600; ++step) {
      now += 200ms;
      const std::string name(1, static_cast<char>('a' + random.Below(6)));
      Holder& holder = holders[name];
      const bool joined = step > 60;
      if (joined && random.OneIn(50)) {
        holder.cut_until = step + 60;
      } else if (joined && random.OneIn(40)) {
        holder = {0, 0, first_epoch, holder.beats, 0};
        apply(name);
      } else if (joined && random.OneIn(40)) {
        first_epoch += 1'000'000;
        const std::size_t lost = random.Below(6);
        tables.resize(tables.size() - std::min(lost, tables.size() - 1));
        members = {};
        for (const auto& [other, unused] : holders) {
          FleetMember expected;
          expected.name = other;
          members.AddExpected(expected, now);
        }
      } else if (step >= holder.cut_until) {
        Member member = MemberOf(name, ++holder.beats, holder.epoch);
        member.share = holder.held;
        members.OnHeartbeat(member, now);
        if (tables.back().epoch >= first_epoch) {
          apply(name);
        }
      }
      const ShareTable next =
          PlanShares(tables.back(), members, now, first_epoch);
      if (next.epoch != tables.back().epoch) {
        tables.push_back(next);
      }
      double sum = 0;
      for (const auto& [other, state] : holders) {
        sum += state.held;
      }
      BOOST_REQUIRE_LE(sum, 1.0 + 1e-5);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnInstanceDoesNotRaiseItsShareByATableOfAnEarlierEpoch) {
  const OlderTable restored;
  BOOST_TEST(ShareToApply(restored.table, "c", 0, 1000) == 0);
  BOOST_TEST(ShareToApply(restored.table, "a", 0.5, 1000) == 0.25);
  BOOST_TEST(ShareToApply(restored.table, "c", 0, 10) == 0.25);
  BOOST_TEST(ShareToApply(restored.table, "new", 0.5, 10) == 0);
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
