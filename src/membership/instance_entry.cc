#include "membership/instance_entry.h"

#include <boost/json.hpp>
#include <limits>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxIncarnation =
    std::numeric_limits<std::int64_t>::max();

json::object ToObject(const InstanceEntry& entry) {
  return {{"name", entry.name},
          {"entry", entry.entry_address},
          {"operator", entry.operator_address},
          {"peer", entry.peer_address},
          {"failure_domain", entry.failure_domain},
          {"incarnation", entry.incarnation},
          {"leaving", entry.state == InstanceState::kLeaving}};
}

Result<InstanceEntry> ToInstance(const json::value& value) {
  ObjectReader reader(value, "");
  InstanceEntry entry;
  entry.name = reader.Text("name");
  entry.entry_address = reader.Text("entry");
  entry.operator_address = reader.Text("operator");
  entry.peer_address = reader.Text("peer");
  entry.failure_domain = reader.Text("failure_domain");
  entry.incarnation = static_cast<std::uint64_t>(
      reader.Integer("incarnation", 0, kMaxIncarnation));
  entry.state = reader.FlagOr("leaving", false) ? InstanceState::kLeaving
                                                : InstanceState::kLive;
  BOOST_OUTCOME_TRY(reader.Finish());
  return entry;
}

}  // namespace

std::string EncodeInstance(const InstanceEntry& entry) {
  return json::serialize(ToObject(entry));
}

Result<InstanceEntry> DecodeInstance(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  return ToInstance(value);
}

std::string EncodeInstances(const std::vector<InstanceEntry>& entries) {
  json::array items;
  for (const auto& entry : entries) {
    items.push_back(ToObject(entry));
  }
  return json::serialize(json::object{{"instances", std::move(items)}});
}

Result<std::vector<InstanceEntry>> DecodeInstances(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  std::vector<InstanceEntry> entries;
  for (const auto& item : reader.ItemsOr("instances")) {
    BOOST_OUTCOME_TRY(auto entry, ToInstance(item));
    entries.push_back(std::move(entry));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return entries;
}

}  // namespace jackdaw
