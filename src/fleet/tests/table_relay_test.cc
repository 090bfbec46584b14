// Tests the compact deltas between the replicas of a leader and its followers.
#include <boost/test/unit_test.hpp>

#include "fleet/heartbeat.h"
#include "fleet/relayed_target.h"
#include "fleet/target_feed.h"
#include "platform/target_row.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr std::size_t kRelayed = 64UL * 1024;

TargetRegistration EntryOf(std::string id, int slots) {
  TargetRegistration entry;
  entry.id = std::move(id);
  entry.service = "engines";
  entry.address = ParseEndpoint("10.0.0.1:80").value();
  entry.slots = slots;
  entry.near_models = {"near"};
  return entry;
}

platform::StoredRow RowOf(const std::string& id,
                          std::int64_t version,
                          int slots,
                          std::int64_t orders = 0) {
  TargetRegistration entry = EntryOf(id, slots);
  entry.orders_accepted = orders;
  return {{"servers", "", id}, platform::EncodeTarget(entry), version, false};
}

platform::RowSet SetOf(std::int64_t version,
                       std::vector<platform::StoredRow> rows,
                       std::int64_t epoch = 0) {
  platform::RowSet set;
  set.epoch = epoch;
  set.version = version;
  set.rows = std::move(rows);
  return set;
}

/// A replica of the table of targets that counts how often rows are encoded.
struct Replica {
  int encoded = 0;
  TableReplica table{
      {[this](const platform::StoredRow& row) {
         ++encoded;
         return IsRelayedTarget(row.value)
                    ? row.value
                    : EncodeRelayedTarget(
                          platform::DecodeTarget(row.at.key, row.value)
                              .value());
       },
       IsRelayedTarget}};

  /// Relays what `to` lacks, over the wire.
  /// @returns the rows that were relayed, or nothing if the store is to be read
  std::optional<platform::RowSet> RelayTo(Replica& to,
                                          std::size_t max_bytes = kRelayed) {
    HeartbeatReply reply;
    reply.targets = table.CompactDeltaSince(to.table.version(), max_bytes);
    const auto read = DecodeHeartbeatReply(EncodeHeartbeatReply(reply));
    BOOST_TEST_REQUIRE(read.has_value());
    const RowDelta& delta = read.value().targets;
    const auto rows = to.table.Expand(delta);
    if (delta.read_store || !rows) {
      return std::nullopt;
    }
    if (delta.whole) {
      to.table.OnSnapshot(rows.value(), kStart);
    } else {
      to.table.OnChanges(rows.value(), kStart);
    }
    return rows.value();
  }
};

BOOST_AUTO_TEST_CASE(EachRowIsEncodedOnceForAllFollowers) {
  Replica leader;
  leader.table.OnSnapshot(SetOf(5, {RowOf("a", 3, 1), RowOf("b", 5, 1)}),
                          kStart);
  for (int i = 0; i < 10; ++i) {
    Replica follower;
    BOOST_TEST_REQUIRE(leader.RelayTo(follower).has_value());
    BOOST_TEST((follower.table.version() == TableVersion{0, 5}));
    BOOST_TEST(follower.table.HasCompactRows());
  }
  BOOST_TEST(leader.encoded == 2);
  BOOST_TEST(!leader.table.HasCompactRows());
}

// Renewed rows, and those of which only the number of orders has changed, are
// the most frequent changes.
BOOST_AUTO_TEST_CASE(ARowThatFollowersNeedNotReadAgainIsRelayedWithoutIt) {
  Replica leader;
  Replica follower;
  leader.table.OnSnapshot(SetOf(5, {RowOf("a", 5, 1)}), kStart);
  BOOST_TEST_REQUIRE(leader.RelayTo(follower).has_value());
  const std::size_t first = leader.table.CompactDeltaSince({}, kRelayed).bytes;
  leader.table.OnChanges(SetOf(9, {RowOf("a", 9, 1, 7)}), kStart);
  const RowDelta delta = leader.table.CompactDeltaSince({0, 5}, kRelayed);
  BOOST_TEST_REQUIRE(delta.relayed.size() == 1);
  BOOST_TEST(delta.relayed[0].text.empty());
  BOOST_TEST(delta.bytes * 2 < first);
  const auto rows = leader.RelayTo(follower);
  BOOST_TEST_REQUIRE(rows.has_value());
  BOOST_TEST(rows->rows[0].version == 9);
  BOOST_TEST(rows->rows[0].value == EncodeRelayedTarget(EntryOf("a", 1)));
}

// The leader may skip a version that a follower has read from the store itself.
BOOST_AUTO_TEST_CASE(AFollowerWithAnotherRowThanTheLeaderReadsTheStore) {
  Replica leader;
  Replica follower;
  leader.table.OnSnapshot(SetOf(5, {RowOf("a", 5, 1)}), kStart);
  BOOST_TEST_REQUIRE(leader.RelayTo(follower).has_value());
  follower.table.OnChanges(SetOf(6, {RowOf("a", 6, 2)}), kStart);
  leader.table.OnChanges(SetOf(7, {RowOf("a", 7, 1)}), kStart);
  BOOST_TEST(!leader.RelayTo(follower).has_value());
  BOOST_TEST((follower.table.version() == TableVersion{0, 6}));
}

BOOST_AUTO_TEST_CASE(ADeletedRowIsRelayedAsDeleted) {
  Replica leader;
  Replica follower;
  leader.table.OnSnapshot(SetOf(5, {RowOf("a", 5, 1)}), kStart);
  BOOST_TEST_REQUIRE(leader.RelayTo(follower).has_value());
  platform::StoredRow gone = RowOf("a", 8, 1);
  gone.value.clear();
  gone.dropped = true;
  leader.table.OnChanges(SetOf(8, {gone}), kStart);
  const auto rows = leader.RelayTo(follower);
  BOOST_TEST_REQUIRE(rows.has_value());
  BOOST_TEST(rows->rows[0].dropped);
  BOOST_TEST(!follower.table.HasCompactRows());
  // It comes back as it was.
  leader.table.OnChanges(SetOf(9, {RowOf("a", 9, 1)}), kStart);
  BOOST_TEST(!leader.RelayTo(follower)->rows[0].value.empty());
}

BOOST_AUTO_TEST_CASE(RowsOfARestoredStoreReplaceRelayedOnesOfHigherVersions) {
  Replica leader;
  Replica follower;
  leader.table.OnSnapshot(SetOf(9, {RowOf("a", 9, 1), RowOf("b", 8, 1)}),
                          kStart);
  BOOST_TEST_REQUIRE(leader.RelayTo(follower).has_value());
  leader.table.OnSnapshot(SetOf(4, {RowOf("a", 4, 2)}, 1), kStart);
  const auto rows = leader.RelayTo(follower);
  BOOST_TEST_REQUIRE(rows.has_value());
  BOOST_TEST(rows->rows.size() == 1);
  BOOST_TEST((follower.table.version() == TableVersion{1, 4}));
}

// The new leader's rows lack what placement needs. Its snapshot of the same
// version completes them, and compact rows do not replace complete ones.
BOOST_AUTO_TEST_CASE(ASnapshotOfTheSameVersionCompletesRelayedRows) {
  Replica leader;
  Replica follower;
  const auto snapshot = SetOf(5, {RowOf("a", 5, 1)});
  leader.table.OnSnapshot(snapshot, kStart);
  const auto relayed = leader.RelayTo(follower);
  BOOST_TEST_REQUIRE(relayed.has_value());
  BOOST_TEST(follower.table.DeltaSince({}, kRelayed).read_store);
  follower.table.OnSnapshot(snapshot, kStart);
  BOOST_TEST(!follower.table.HasCompactRows());
  BOOST_TEST(!follower.table.DeltaSince({}, kRelayed).read_store);
  follower.table.OnChanges(*relayed, kStart);
  BOOST_TEST(!follower.table.HasCompactRows());
}

BOOST_AUTO_TEST_CASE(TheFeedTakesACompleteRowAfterTheRelayedOneOnly) {
  TargetFeed feed;
  TargetRow row{"a", 5, true, false, EntryOf("a", 1)};
  row.entry.near_models.clear();
  BOOST_TEST(feed.OnSnapshot({row}, kStart).updated.size() == 1);
  BOOST_TEST(feed.OnChanges({row}, kStart).updated.empty());
  TargetRow complete{"a", 5, true, true, EntryOf("a", 1)};
  TargetRow older = complete;
  older.version = 4;
  BOOST_TEST(feed.OnChanges({older}, kStart).updated.empty());
  const auto changes = feed.OnSnapshot({complete}, kStart);
  BOOST_TEST_REQUIRE(changes.updated.size() == 1);
  BOOST_TEST(changes.updated[0].near_models.size() == 1);
  BOOST_TEST(feed.OnSnapshot({complete}, kStart).updated.empty());
  BOOST_TEST(feed.OnChanges({row}, kStart).updated.empty());
}

BOOST_AUTO_TEST_CASE(ACompactDeltaAboveTheByteLimitRefersToTheStore) {
  Replica leader;
  Replica follower;
  leader.table.OnSnapshot(SetOf(5, {RowOf("a", 5, 1)}), kStart);
  BOOST_TEST(!leader.RelayTo(follower, 10).has_value());
  BOOST_TEST((follower.table.version() == TableVersion{}));
}

// A row of a later form must not end the heartbeat, nor count as deleted.
BOOST_AUTO_TEST_CASE(RowsOfAnUnknownFormReferToTheStore) {
  HeartbeatReply reply;
  reply.fresh = true;
  reply.targets.version = {0, 7};
  reply.targets.relayed = {{"a", 7, RelayedRow::Kind::kText, "t s=e", 0}};
  std::string document = EncodeHeartbeatReply(reply);
  const std::string text = R"("t s=e")";
  document.replace(document.find(text), text.size(), R"({"of":"later"})");
  const auto read = DecodeHeartbeatReply(document);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().fresh);
  BOOST_TEST(read.value().targets.read_store);
  BOOST_TEST(read.value().targets.relayed.empty());
}

BOOST_AUTO_TEST_CASE(AConfigurationIsCompressedOnceAndOtherRowsAreRelayedToo) {
  TableReplica leader;
  TableReplica follower;
  const std::string document =
      R"({"version":1,"x":")" + std::string(100'000, 'x') + R"("})";
  leader.OnSnapshot(SetOf(5, {{{"op", "", "config"}, document, 3, false},
                              {{"op", "", "evacuate/a"}, "t {}", 5, false}}),
                    kStart);
  const RowDelta delta = leader.CompactDeltaSince({}, kRelayed);
  BOOST_TEST(delta.bytes < 2000U);
  const auto rows = follower.Expand(delta);
  BOOST_TEST_REQUIRE(rows.has_value());
  BOOST_TEST((rows.value().rows[0].value == document));
  BOOST_TEST(rows.value().rows[1].value == "t {}");
}

// A former build names no form and sends full rows.
BOOST_AUTO_TEST_CASE(AnInstanceOfTheFormerBuildNamesNoForm) {
  HeartbeatRequest heartbeat;
  heartbeat.member.name = "a";
  heartbeat.member.entry = ParseEndpoint("10.1.0.1:80").value();
  heartbeat.member.peer = heartbeat.member.entry;
  heartbeat.member.boot_id = "b";
  heartbeat.member.failure_domain = "z";
  heartbeat.row_form = kRowForm;
  std::string document = EncodeHeartbeat(heartbeat);
  BOOST_TEST(DecodeHeartbeat(document).value().row_form == kRowForm);
  const std::string form = R"("row_form":1,)";
  BOOST_TEST_REQUIRE(document.find(form) != std::string::npos);
  document.erase(document.find(form), form.size());
  BOOST_TEST(DecodeHeartbeat(document).value().row_form == 0);
  Replica former;
  Replica follower;
  former.table.OnSnapshot(SetOf(5, {RowOf("a", 5, 1)}), kStart);
  const auto rows =
      follower.table.Expand(former.table.DeltaSince({}, kRelayed));
  BOOST_TEST_REQUIRE(rows.has_value());
  follower.table.OnSnapshot(rows.value(), kStart);
  BOOST_TEST(!follower.table.HasCompactRows());
}

}  // namespace
}  // namespace jackdaw::serving
