#include "fleet/heartbeat.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw::serving {
namespace {

namespace json = boost::json;

// Longest time since the leader's last contact that is read, in milliseconds.
constexpr std::int64_t kMaxAgeMs = 3600'000;

json::value EncodeDelta(const RowDelta& delta) {
  json::array rows;
  for (const platform::StoredRow& row : delta.rows) {
    rows.push_back({{"key", row.at.key},
                    {"value", row.value},
                    {"version", row.version},
                    {"dropped", row.dropped}});
  }
  json::object object{{"whole", delta.whole},
                      {"read_store", delta.read_store},
                      {"epoch", delta.version.epoch},
                      {"version", delta.version.number},
                      {"rows", std::move(rows)}};
  if (!delta.relayed.empty()) {
    json::array relayed;
    for (const RelayedRow& row : delta.relayed) {
      relayed.push_back(EncodeRelayedRow(row));
    }
    object["compact"] = std::move(relayed);
  }
  return object;
}

// A row of an unknown form makes the receiver read the table from the store.
void DecodeRelayedRows(ObjectReader& reader, RowDelta& delta) {
  for (const auto& item : reader.ItemsOr("compact")) {
    auto row = DecodeRelayedRow(item);
    if (!row) {
      delta = {};
      delta.read_store = true;
      return;
    }
    delta.relayed.push_back(std::move(row.value()));
  }
}

Result<RowDelta> DecodeDelta(const json::value& value) {
  ObjectReader reader(value, "/rows");
  RowDelta delta;
  delta.whole = reader.FlagOr("whole", false);
  delta.read_store = reader.FlagOr("read_store", false);
  delta.version.epoch = reader.IntegerOr("epoch", 0, INT64_MAX, 0);
  delta.version.number = reader.Integer("version", 0, INT64_MAX);
  for (const auto& item : reader.ItemsOr("rows")) {
    ObjectReader fields(item, "/rows");
    platform::StoredRow row;
    row.at.key = fields.Text("key");
    row.value = fields.TextOr("value", "");
    row.version = fields.Integer("version", 0, INT64_MAX);
    row.dropped = fields.FlagOr("dropped", false);
    BOOST_OUTCOME_TRY(fields.FinishKnown());
    delta.rows.push_back(std::move(row));
  }
  DecodeRelayedRows(reader, delta);
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return delta;
}

json::value EncodeView(const FleetView& view) {
  json::array members;
  for (const FleetMember& member : view.members) {
    members.push_back({{"name", member.name},
                       {"entry", ToText(member.entry)},
                       {"peer", ToText(member.peer)},
                       {"failure_domain", member.failure_domain},
                       {"state", static_cast<int>(member.state)}});
  }
  return {{"id", view.id}, {"members", std::move(members)}};
}

Result<FleetView> DecodeView(const json::value& value) {
  ObjectReader reader(value, "/view");
  FleetView view;
  view.id = reader.Text("id");
  for (const auto& item : reader.ItemsOr("members")) {
    ObjectReader fields(item, "/view/members");
    FleetMember member;
    member.name = fields.Text("name");
    BOOST_OUTCOME_TRY(member.entry, ParseEndpoint(fields.Text("entry")));
    BOOST_OUTCOME_TRY(member.peer, ParseEndpoint(fields.Text("peer")));
    member.failure_domain = fields.Text("failure_domain");
    member.state = static_cast<MemberState>(fields.Integer(
        "state", 0, static_cast<std::int64_t>(MemberState::kGone)));
    BOOST_OUTCOME_TRY(fields.FinishKnown());
    view.members.push_back(std::move(member));
  }
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return view;
}

Result<RowDelta> ReadDelta(ObjectReader& reader, std::string_view key) {
  const json::value* value = reader.Any(key);
  if (value == nullptr) {
    return RowDelta{};
  }
  return DecodeDelta(*value);
}

}  // namespace

std::string EncodeViewRow(const FleetView& view) {
  return json::serialize(EncodeView(view));
}

Result<FleetView> DecodeViewRow(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  return DecodeView(value);
}

std::string EncodeHeartbeat(const HeartbeatRequest& heartbeat) {
  return json::serialize(
      json::value{{"member", EncodeMember(heartbeat.member)},
                  {"view_id", heartbeat.view_id},
                  {"config_epoch", heartbeat.config_after.epoch},
                  {"config_after", heartbeat.config_after.number},
                  {"config_version", heartbeat.config_version},
                  {"row_form", heartbeat.row_form},
                  {"targets_epoch", heartbeat.targets_after.epoch},
                  {"targets_after", heartbeat.targets_after.number}});
}

Result<HeartbeatRequest> DecodeHeartbeat(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  HeartbeatRequest heartbeat;
  BOOST_OUTCOME_TRY(heartbeat.member, DecodeMember(reader.Text("member")));
  heartbeat.view_id = reader.TextOr("view_id", "");
  heartbeat.config_after.epoch =
      reader.IntegerOr("config_epoch", 0, INT64_MAX, 0);
  heartbeat.config_after.number = reader.Integer("config_after", 0, INT64_MAX);
  heartbeat.config_version =
      reader.IntegerOr("config_version", -1, INT64_MAX, -1);
  heartbeat.row_form = reader.IntegerOr("row_form", 0, INT64_MAX, 0);
  heartbeat.targets_after.epoch =
      reader.IntegerOr("targets_epoch", 0, INT64_MAX, 0);
  heartbeat.targets_after.number =
      reader.Integer("targets_after", 0, INT64_MAX);
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return heartbeat;
}

std::string EncodeHeartbeatReply(const HeartbeatReply& reply) {
  json::object object{{"fresh", reply.fresh}, {"term", reply.term}};
  if (reply.fresh) {
    object["contact_ms"] = reply.contact_age / 1ms;
  }
  if (reply.view) {
    object["view"] = EncodeView(*reply.view);
  }
  if (!reply.silent.empty()) {
    object["silent"] = EncodeSilent(reply.silent);
  }
  object["store_epoch"] = reply.replied_at.epoch;
  object["store_ms"] = reply.replied_at.ms;
  if (reply.parts) {
    object["parts_epoch"] = reply.parts->epoch;
    object["parts"] = EncodeParts(reply.parts->parts);
  }
  object["relays_evacuations"] = reply.relays_evacuations;
  object["config"] = EncodeDelta(reply.config);
  object["targets"] = EncodeDelta(reply.targets);
  if (!reply.lost_config.empty()) {
    object["lost_config"] = reply.lost_config;
  }
  if (!reply.crashes.empty()) {
    object["crashes"] = EncodeCrashes(reply.crashes);
  }
  if (!reply.rate_limits.empty()) {
    object["rate_limits"] = EncodeRateLimits(reply.rate_limits);
  }
  if (!reply.leaving_targets.empty()) {
    object["leaving_targets"] = EncodeLeaving(reply.leaving_targets);
  }
  return json::serialize(object);
}

Result<HeartbeatReply> DecodeHeartbeatReply(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  HeartbeatReply reply;
  reply.fresh = reader.FlagOr("fresh", false);
  reply.term = reader.Integer("term", 0, INT64_MAX);
  reply.contact_age = std::chrono::milliseconds(
      reader.IntegerOr("contact_ms", 0, kMaxAgeMs, 0));
  if (const json::value* view = reader.Any("view")) {
    BOOST_OUTCOME_TRY(reply.view, DecodeView(*view));
  }
  BOOST_OUTCOME_TRY(reply.silent, ReadSilent(reader));
  reply.replied_at.epoch = reader.IntegerOr("store_epoch", 0, INT64_MAX, 0);
  reply.replied_at.ms = reader.IntegerOr("store_ms", 0, INT64_MAX, 0);
  const std::string parts = reader.TextOr("parts", "");
  if (!parts.empty()) {
    PartGrant grant;
    grant.epoch = reader.Integer("parts_epoch", 0, INT64_MAX);
    BOOST_OUTCOME_TRY(grant.parts, DecodeParts(parts));
    reply.parts = grant;
  }
  reply.relays_evacuations = reader.FlagOr("relays_evacuations", false);
  BOOST_OUTCOME_TRY(reply.config, ReadDelta(reader, "config"));
  BOOST_OUTCOME_TRY(reply.targets, ReadDelta(reader, "targets"));
  reply.lost_config = reader.TextOr("lost_config", "");
  BOOST_OUTCOME_TRY(reply.crashes, ReadCrashes(reader));
  BOOST_OUTCOME_TRY(reply.rate_limits, ReadRateLimits(reader));
  BOOST_OUTCOME_TRY(reply.leaving_targets, ReadLeaving(reader));
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return reply;
}

}  // namespace jackdaw::serving
