#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "lease/assignment.h"
#include "lease/target_lease.h"
#include "store/memory_table.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

std::vector<std::string> Names(const std::string& prefix, int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back(prefix + std::to_string(i));
  }
  std::sort(names.begin(), names.end());
  return names;
}

// Reads the row and applies the write that the lease returns.
// @returns whether the lease is held
bool ReadAndWrite(MemoryTable& table, TargetLease& lease, Instant now) {
  const auto rows = table.Read({{lease.key()}, {}, 0});
  lease.OnRow(now, rows.empty() ? 0 : rows[0].version,
              rows.empty() ? LeaseRow{} : DecodeLease(rows[0].value).value());
  const auto write = lease.NextTransaction(now, true, {}, false);
  if (write) {
    lease.OnCommitted(now, table.Apply(*write).version);
  }
  return lease.HeldAt(now);
}

BOOST_AUTO_TEST_CASE(NoInstanceExceedsItsPartOfTheTargets) {
  const auto targets = Names("t", 18);
  const auto instances = Names("i", 7);
  const auto owners = AssignTargets(targets, instances);
  for (int i = 0; i < 7; ++i) {
    const auto count = std::count(owners.begin(), owners.end(), i);
    // 18 / 7, rounded up.
    BOOST_TEST(count <= 3);
    BOOST_TEST(count >= 0);
  }
}

BOOST_AUTO_TEST_CASE(FewTargetsMoveWhenAnInstanceLeaves) {
  const auto targets = Names("t", 640);
  auto instances = Names("i", 370);
  const auto before = AssignTargets(targets, instances);
  const std::string left = instances[100];
  auto fewer = instances;
  std::erase(fewer, left);
  const auto after = AssignTargets(targets, fewer);
  int moved = 0;
  for (std::size_t t = 0; t < targets.size(); ++t) {
    moved += instances[static_cast<std::size_t>(before[t])] !=
                     fewer[static_cast<std::size_t>(after[t])]
                 ? 1
                 : 0;
  }
  // A tenth of the targets.
  BOOST_TEST(moved < 64);
}

BOOST_AUTO_TEST_CASE(ALeaseIsTakenOverOnlyAfterItsTerm) {
  MemoryTable table;
  TargetLease first("lease/target/t", "a/1", 15s);
  TargetLease second("lease/target/t", "b/1", 15s);
  BOOST_TEST(ReadAndWrite(table, first, kStart));
  BOOST_TEST(!ReadAndWrite(table, second, kStart + 1s));
  BOOST_TEST(!ReadAndWrite(table, second, kStart + 15s));
  BOOST_TEST(!first.HeldAt(kStart + 15s));
  BOOST_TEST(ReadAndWrite(table, second, kStart + 16s));
  BOOST_TEST(second.fence() > first.fence());
}

BOOST_AUTO_TEST_CASE(AWriteWithALostResponseIsConfirmedByARead) {
  MemoryTable table;
  TargetLease lease("lease/target/t", "a/1", 15s);
  lease.OnRow(kStart, 0, {});
  const auto write = lease.NextTransaction(kStart, true, {}, false);
  BOOST_REQUIRE(write);
  table.Apply(*write);
  lease.OnUnknown(kStart);
  BOOST_TEST(!lease.HeldAt(kStart));
  BOOST_TEST(ReadAndWrite(table, lease, kStart + 2s));
  BOOST_TEST(lease.fence() == 1);
  BOOST_TEST((lease.deadline() == kStart + 15s));
}

}  // namespace
}  // namespace jackdaw
