#include "fleet/evacuations.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
// Time for which an evacuation is kept whose row the store has lost.
constexpr Micros kKept = 15s;

platform::StoredRow RowOf(std::string key, std::int64_t version) {
  return {{"op", "", std::move(key)}, "{}", version, false};
}

platform::StoredRow Removed(std::string key, std::int64_t version) {
  return {{"op", "", std::move(key)}, "", version, true};
}

platform::RowSet Set(std::int64_t epoch,
                     std::int64_t version,
                     std::vector<platform::StoredRow> rows) {
  platform::RowSet set;
  set.epoch = epoch;
  set.version = version;
  set.rows = std::move(rows);
  return set;
}

class Fixture {
 protected:
  Evacuations::Changes Snapshot(const platform::RowSet& set, Micros at = 0s) {
    return evacuations_.OnRows(set, true, kStart + at);
  }
  Evacuations::Changes Change(const platform::RowSet& set, Micros at = 0s) {
    return evacuations_.OnRows(set, false, kStart + at);
  }
  bool IsEvacuated(const std::string& domain) const {
    return evacuations_.domains().contains(domain);
  }

  Evacuations evacuations_;
};

BOOST_FIXTURE_TEST_SUITE(EvacuationRows, Fixture)

BOOST_AUTO_TEST_CASE(RowEvacuatesItsDomainUntilItIsRemoved) {
  Snapshot(Set(0, 3, {RowOf("config", 3)}));
  const auto begun = Change(Set(0, 4, {RowOf("evacuate/a", 4)}));
  BOOST_TEST((begun.begun == std::vector<std::string>{"a"}));
  BOOST_TEST(IsEvacuated("a"));
  BOOST_TEST(!IsEvacuated("b"));
  const auto ended = Change(Set(0, 5, {Removed("evacuate/a", 5)}));
  BOOST_TEST((ended.ended == std::vector<std::string>{"a"}));
  BOOST_TEST(evacuations_.domains().empty());
}

BOOST_AUTO_TEST_CASE(OlderAndRepeatedRowsChangeNothing) {
  Change(Set(0, 4, {RowOf("evacuate/a", 4)}));
  Change(Set(0, 5, {Removed("evacuate/a", 5)}));
  BOOST_TEST(Change(Set(0, 4, {RowOf("evacuate/a", 4)})).begun.empty());
  BOOST_TEST(Change(Set(0, 6, {RowOf("evacuate/a", 4)})).begun.empty());
  BOOST_TEST(Snapshot(Set(0, 4, {RowOf("evacuate/a", 4)})).begun.empty());
  BOOST_TEST(!IsEvacuated("a"));
  Change(Set(0, 7, {RowOf("evacuate/a", 7)}));
  BOOST_TEST(Change(Set(0, 7, {RowOf("evacuate/a", 7)})).begun.empty());
  BOOST_TEST(Change(Set(0, 7, {Removed("evacuate/a", 5)})).ended.empty());
  BOOST_TEST(IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(LaterRowOfTheSameReadCountsInAnyOrder) {
  Change(Set(0, 6, {Removed("evacuate/a", 6), RowOf("evacuate/a", 5)}));
  BOOST_TEST(!IsEvacuated("a"));
  Change(Set(0, 8, {RowOf("evacuate/b", 8), Removed("evacuate/b", 7)}));
  BOOST_TEST(IsEvacuated("b"));
}

BOOST_AUTO_TEST_CASE(SnapshotWithoutTheRowEndsTheEvacuation) {
  Change(Set(0, 4, {RowOf("evacuate/a", 4), RowOf("evacuate/b", 3)}));
  const auto changes = Snapshot(Set(0, 9, {RowOf("evacuate/b", 3)}));
  BOOST_TEST((changes.ended == std::vector<std::string>{"a"}));
  BOOST_TEST(IsEvacuated("b"));
}

BOOST_AUTO_TEST_CASE(OlderSnapshotWithoutTheRowEndsNothing) {
  Change(Set(0, 4, {RowOf("evacuate/a", 4)}));
  BOOST_TEST(Snapshot(Set(0, 3, {})).ended.empty());
  BOOST_TEST(IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(RowLostByTheStoreKeepsItsDomainEvacuatedForAWhile) {
  Change(Set(0, 9, {RowOf("evacuate/a", 9)}));
  const auto restored = Snapshot(Set(1, 5, {RowOf("config", 2)}));
  BOOST_TEST((restored.kept == std::vector<std::string>{"a"}));
  BOOST_TEST(restored.ended.empty());
  // Further reads of the new epoch do not end it earlier.
  BOOST_TEST(Snapshot(Set(1, 7, {RowOf("config", 2)}), 3s).ended.empty());
  BOOST_TEST(evacuations_.Expire(kStart + kKept - 1us).ended.empty());
  BOOST_TEST(IsEvacuated("a"));
  const auto ended = evacuations_.Expire(kStart + kKept);
  BOOST_TEST((ended.ended == std::vector<std::string>{"a"}));
  BOOST_TEST(!IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(RowWrittenAgainAfterALossCountsWithItsLowerVersion) {
  Change(Set(0, 90, {RowOf("evacuate/a", 90)}));
  Snapshot(Set(1, 5, {}));
  BOOST_TEST(Change(Set(1, 6, {RowOf("evacuate/a", 6)}), 4s).begun.empty());
  BOOST_TEST(evacuations_.Expire(kStart + kKept + 1s).ended.empty());
  BOOST_TEST(IsEvacuated("a"));
  Change(Set(1, 7, {Removed("evacuate/a", 7)}), 20s);
  BOOST_TEST(!IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(RowOfTheOlderCopyStaysInForce) {
  Change(Set(0, 4, {RowOf("evacuate/a", 4)}));
  const auto restored = Snapshot(Set(1, 4, {RowOf("evacuate/a", 4)}));
  BOOST_TEST(restored.kept.empty());
  BOOST_TEST(evacuations_.Expire(kStart + kKept).ended.empty());
  BOOST_TEST(IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(RowsOfAnEarlierEpochChangeNothing) {
  Snapshot(Set(2, 4, {RowOf("evacuate/a", 4)}));
  BOOST_TEST(Snapshot(Set(1, 99, {RowOf("evacuate/b", 99)})).begun.empty());
  BOOST_TEST(Change(Set(1, 99, {Removed("evacuate/a", 99)})).ended.empty());
  BOOST_TEST(Change(Set(3, 99, {Removed("evacuate/a", 99)})).ended.empty());
  BOOST_TEST((evacuations_.domains() == DomainSet{"a"}));
}

BOOST_AUTO_TEST_CASE(UnreadableValueCountsAndUnusableNamesAreSkipped) {
  platform::StoredRow odd = RowOf("evacuate/a", 4);
  odd.value = "\xff{";
  platform::StoredRow other_part = RowOf("evacuate/p", 4);
  other_part.at.part = "x";
  const auto changes =
      Snapshot(Set(0, 4,
                   {odd, RowOf("evacuate/", 4),
                    RowOf("evacuate/" + std::string(10'000, 'z'), 4),
                    RowOf("evacuate", 4), other_part}));
  BOOST_TEST((evacuations_.domains() == DomainSet{"a"}));
  BOOST_TEST(changes.skipped == 2U);
  // A repeated read of the same rows is not logged again.
  BOOST_TEST(Snapshot(Set(0, 5, {odd, RowOf("evacuate/", 4)})).skipped == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
