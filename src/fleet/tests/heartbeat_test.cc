#include "fleet/heartbeat.h"

#include <boost/test/unit_test.hpp>

#include "fleet/leader_row.h"

namespace jackdaw::serving {
namespace {

// Limit of bytes in a delta.
constexpr std::size_t kRelayed = 64UL * 1024;
constexpr Instant kStart{Micros(1'700'000'000'000'000)};

Member MemberOf(std::string name) {
  Member member;
  member.name = std::move(name);
  member.boot_id = "b";
  member.entry = ParseEndpoint("10.1.0.1:80").value();
  member.peer = ParseEndpoint("10.1.0.1:81").value();
  member.failure_domain = "z";
  return member;
}

platform::StoredRow RowOf(std::string key, std::int64_t version) {
  platform::StoredRow row;
  row.at.key = std::move(key);
  row.value = "v";
  row.version = version;
  return row;
}

BOOST_AUTO_TEST_CASE(TheFirstHeartbeatOfAnInstanceReadsBack) {
  HeartbeatRequest heartbeat;
  heartbeat.member = MemberOf("a");
  heartbeat.member.parts_epoch = -1;
  heartbeat.member.parts = PartSet(5);
  heartbeat.config_version = 7;
  heartbeat.member.demand.push_back({{"s", "m/a1"}, {1.5, 2000, 0}});
  heartbeat.member.crashes.push_back({0xffffffffffffffffULL, 5, 1});
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().view_id.empty());
  BOOST_TEST(read.value().member.name == "a");
  BOOST_TEST(read.value().member.parts_epoch == -1);
  BOOST_TEST((read.value().member.parts == PartSet(5)));
  BOOST_TEST(read.value().config_version == 7);
  BOOST_TEST(read.value().member.demand[0].demand.tokens == 2000);
  const CrashReport& crash = read.value().member.crashes[0];
  BOOST_TEST(crash.digest == 0xffffffffffffffffULL);
  BOOST_TEST(crash.target == 5U);
  BOOST_TEST(crash.crashes == 1);
}

BOOST_AUTO_TEST_CASE(ModelThatACallerMadeUpDoesNotMakeAHeartbeatUnreadable) {
  HeartbeatRequest heartbeat;
  heartbeat.member = MemberOf("a");
  heartbeat.member.demand = {{{"s", "m1/\xff"}, {1, 2, 3}},
                             {{"s", "\xc3\x28"}, {1, 2, 3}},
                             {{"s", "m1/\xc3\xa9\"\x01"}, {1, 2, 3}},
                             {{"s", "m1"}, {1e300, 1e300, -1}}};
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  BOOST_TEST_REQUIRE(read.has_value());
  const std::vector<ModelDemand>& demand = read.value().member.demand;
  BOOST_TEST_REQUIRE(demand.size() == 2U);
  BOOST_TEST(demand.front().key.model == "m1/\xc3\xa9\"\x01");
  BOOST_TEST(demand.back().key.model == "m1");
}

// A leader of an earlier release says nothing of evacuations and drops their
// rows.
BOOST_AUTO_TEST_CASE(ReplyWithoutWordOfEvacuationsDoesNotRelayThem) {
  HeartbeatReply reply;
  reply.relays_evacuations = true;
  std::string text = EncodeHeartbeatReply(reply);
  BOOST_TEST(DecodeHeartbeatReply(text).value().relays_evacuations);
  constexpr std::string_view kWord = R"("relays_evacuations":true,)";
  BOOST_TEST_REQUIRE(text.find(kWord) != std::string::npos);
  text.erase(text.find(kWord), kWord.size());
  BOOST_TEST(!DecodeHeartbeatReply(text).value().relays_evacuations);
}

BOOST_AUTO_TEST_CASE(AReplyReadsBackWithAndWithoutChanges) {
  const auto empty = DecodeHeartbeatReply(EncodeHeartbeatReply({}));
  BOOST_REQUIRE(empty);
  BOOST_TEST(!empty.value().view.has_value());
  BOOST_TEST(!empty.value().fresh);
  BOOST_TEST((empty.value().contact_age == 0ms));
  HeartbeatReply reply;
  reply.fresh = true;
  reply.contact_age = 730ms;
  reply.view = FleetView{"x/1",
                         {{"a", MemberOf("a").entry, MemberOf("a").peer, "z",
                           MemberState::kReady}}};
  reply.parts = PartGrant{3, PartSet(9)};
  reply.targets.whole = true;
  reply.targets.version = {2, 9};
  reply.targets.rows = {RowOf("t", 8)};
  platform::StoredRow dropped = RowOf("u", 9);
  dropped.dropped = true;
  dropped.value.clear();
  reply.targets.rows.push_back(dropped);
  const auto read = DecodeHeartbeatReply(EncodeHeartbeatReply(reply));
  BOOST_REQUIRE(read);
  BOOST_TEST((read.value().contact_age == 730ms));
  BOOST_TEST((read.value().view->members == reply.view->members));
  BOOST_TEST_REQUIRE(read.value().parts.has_value());
  BOOST_TEST(read.value().parts->epoch == 3);
  BOOST_TEST((read.value().parts->parts == PartSet(9)));
  BOOST_TEST(read.value().targets.whole);
  BOOST_TEST(read.value().targets.version.epoch == 2);
  BOOST_REQUIRE(read.value().targets.rows.size() == 2);
  BOOST_TEST(read.value().targets.rows[1].dropped);
}

BOOST_AUTO_TEST_CASE(AgesOfSignsOfLifeTravelWithHeartbeatsRepliesAndTheLease) {
  HeartbeatRequest heartbeat;
  heartbeat.member = MemberOf("a");
  heartbeat.member.sent_at = {2, 12345};
  const auto sent = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  BOOST_TEST_REQUIRE(sent.has_value());
  BOOST_TEST(sent.value().member.sent_at.epoch == 2);
  BOOST_TEST(sent.value().member.sent_at.ms == 12345);
  HeartbeatReply reply;
  reply.replied_at = {2, 12350};
  reply.silent = {{"b", 1500ms}};
  const auto replied = DecodeHeartbeatReply(EncodeHeartbeatReply(reply));
  BOOST_TEST_REQUIRE(replied.has_value());
  BOOST_TEST(replied.value().replied_at.ms == 12350);
  BOOST_TEST_REQUIRE(replied.value().silent.size() == 1U);
  BOOST_TEST((replied.value().silent.front().age == 1500ms));
  LeaderLease lease;
  lease.holder = "a";
  lease.address = "127.0.0.1:7";
  lease.boot_id = "b";
  lease.store_epoch = 2;
  lease.renewed_at = {2, 12360};
  lease.silent = reply.silent;
  const auto stored = DecodeLeaderLease(EncodeLeaderLease(lease));
  BOOST_TEST_REQUIRE(stored.has_value());
  BOOST_TEST(stored.value().renewed_at.epoch == 2);
  BOOST_TEST(stored.value().renewed_at.ms == 12360);
  BOOST_TEST(stored.value().silent.front().name == "b");
}

BOOST_AUTO_TEST_CASE(BlockedPartWithAPartnerDoesNotMakeAReplyUnreadable) {
  HeartbeatReply reply;
  reply.crashes.push_back({7, 0, 3, 0, 5ms, 9});
  const auto read = DecodeHeartbeatReply(EncodeHeartbeatReply(reply));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().crashes.front().partner == 9U);
  const auto stored = DecodeCrashRow(EncodeCrashRow(reply.crashes));
  BOOST_TEST_REQUIRE(stored.has_value());
  BOOST_TEST(stored.value().front().partner == 9U);
}

BOOST_AUTO_TEST_CASE(LeavingTargetsTravelInBothDirections) {
  HeartbeatRequest heartbeat;
  heartbeat.member = MemberOf("a");
  heartbeat.member.leaving_targets = {{0xffffffffffffffffULL, -5}};
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST_REQUIRE(read.value().member.leaving_targets.size() == 1U);
  HeartbeatReply reply;
  reply.leaving_targets = read.value().member.leaving_targets;
  const auto again = DecodeHeartbeatReply(EncodeHeartbeatReply(reply));
  BOOST_TEST_REQUIRE(again.has_value());
  const LeavingReport& report = again.value().leaving_targets.front();
  BOOST_TEST(report.target == 0xffffffffffffffffULL);
  BOOST_TEST(report.born_ms == -5);
}

BOOST_AUTO_TEST_CASE(LimitOfATargetBornBefore1970DoesNotStopHeartbeats) {
  HeartbeatRequest heartbeat;
  heartbeat.member = MemberOf("a");
  heartbeat.member.rate_limits = {{7, -5, 2.0, 10ms}};
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().member.rate_limits.front().born_ms == -5);
}

BOOST_AUTO_TEST_CASE(MessagesOfALaterReleaseStayReadable) {
  HeartbeatReply reply;
  reply.crashes.push_back({7, 0, 3});
  std::string text = EncodeHeartbeatReply(reply);
  const std::size_t crash = text.find("\"digest\"");
  BOOST_TEST_REQUIRE(crash != std::string::npos);
  text.insert(crash, R"("later":1,)");
  text.insert(1, R"("later":{},)");
  const auto read = DecodeHeartbeatReply(text);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().crashes.front().crashes == 3);
}

BOOST_AUTO_TEST_CASE(MalformedHeartbeatsAreRejected) {
  for (const char* text : {"", "{}", "[]", R"({"member":"{}"})", "\xff"}) {
    BOOST_TEST(!DecodeHeartbeat(text));
  }
  BOOST_TEST(!DecodeHeartbeatReply("[1]"));
}

BOOST_AUTO_TEST_CASE(ADeltaContainsOnlyNewerRows) {
  TableReplica replica;
  platform::RowSet whole;
  whole.version = 10;
  whole.rows = {RowOf("a", 3), RowOf("b", 9)};
  replica.OnSnapshot(whole, kStart);
  BOOST_TEST(replica.DeltaSince({0, 0}, kRelayed).whole);
  BOOST_TEST(replica.DeltaSince({0, 0}, kRelayed).rows.size() == 2);
  BOOST_TEST(replica.DeltaSince({0, 10}, kRelayed).rows.empty());
  platform::RowSet changes;
  changes.version = 12;
  changes.rows = {RowOf("a", 11), RowOf("b", 12)};
  changes.rows[1].dropped = true;
  replica.OnChanges(changes, kStart);
  const RowDelta delta = replica.DeltaSince({0, 11}, kRelayed);
  BOOST_TEST(!delta.whole);
  BOOST_REQUIRE(delta.rows.size() == 1);
  BOOST_TEST(delta.rows[0].dropped);
  BOOST_TEST(delta.version.number == 12);
}

// A row that was deleted while the history was lost must be relayed as deleted,
// and an instance that was away for longer than tombstones are kept needs a
// snapshot.
BOOST_AUTO_TEST_CASE(ASnapshotTurnsMissingRowsIntoTombstones) {
  TableReplica replica;
  platform::RowSet whole;
  whole.version = 10;
  whole.rows = {RowOf("a", 3), RowOf("b", 9)};
  replica.OnSnapshot(whole, kStart);
  whole.version = 20;
  whole.rows = {RowOf("a", 3)};
  replica.OnSnapshot(whole, kStart + 1s);
  const RowDelta delta = replica.DeltaSince({0, 10}, kRelayed);
  BOOST_REQUIRE(delta.rows.size() == 1);
  BOOST_TEST(delta.rows[0].at.key == "b");
  BOOST_TEST(delta.rows[0].dropped);
  whole.version = 30;
  replica.OnSnapshot(whole, kStart + 60s);
  BOOST_TEST(replica.DeltaSince({0, 10}, kRelayed).whole);
  BOOST_TEST(!replica.DeltaSince({0, 20}, kRelayed).whole);
}

BOOST_AUTO_TEST_CASE(AnOlderSnapshotIsIgnored) {
  TableReplica replica;
  platform::RowSet whole;
  whole.version = 10;
  whole.rows = {RowOf("a", 3), RowOf("b", 9)};
  replica.OnSnapshot(whole, kStart);
  whole.version = 7;
  whole.rows = {RowOf("a", 3)};
  replica.OnSnapshot(whole, kStart);
  BOOST_TEST(replica.DeltaSince({0, 0}, kRelayed).rows.size() == 2);
}

BOOST_AUTO_TEST_CASE(ARestoredTableReplacesRowsOfHigherVersions) {
  TableReplica replica;
  platform::RowSet whole;
  whole.version = 10;
  whole.rows = {RowOf("a", 3), RowOf("b", 9)};
  replica.OnSnapshot(whole, kStart);
  whole.epoch = 1;
  whole.version = 7;
  whole.rows = {RowOf("a", 5)};
  replica.OnSnapshot(whole, kStart);
  const RowDelta delta = replica.DeltaSince({0, 10}, kRelayed);
  BOOST_TEST(delta.whole);
  BOOST_REQUIRE(delta.rows.size() == 1);
  BOOST_TEST(delta.rows[0].version == 5);
  whole.epoch = 0;
  whole.version = 11;
  replica.OnChanges(whole, kStart);
  BOOST_TEST((replica.version() == TableVersion{1, 7}));
}

BOOST_AUTO_TEST_CASE(ADeltaAboveTheByteLimitRefersToTheStore) {
  TableReplica replica;
  platform::RowSet set;
  set.version = 5;
  set.rows.push_back({{"op", "", "config"}, std::string(1000, 'x'), 5, false});
  replica.OnSnapshot(set, kStart);
  BOOST_TEST(!replica.DeltaSince({0, 0}, kRelayed).read_store);
  set.version = 7;
  set.rows.front().version = 7;
  set.rows.front().value = std::string(kRelayed + 1, 'x');
  replica.OnChanges(set, kStart);
  HeartbeatReply reply;
  reply.config = replica.DeltaSince({0, 5}, kRelayed);
  const auto read = DecodeHeartbeatReply(EncodeHeartbeatReply(reply));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().config.read_store);
  BOOST_TEST(read.value().config.rows.empty());
  // The receiver's version does not advance, and once it has read the store,
  // there is nothing more to read.
  BOOST_TEST(read.value().config.version.number == 5);
  BOOST_TEST(!replica.DeltaSince({0, 7}, kRelayed).read_store);
}

}  // namespace
}  // namespace jackdaw::serving
