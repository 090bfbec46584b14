#include "platform/codec.h"

#include <boost/json.hpp>
#include <limits>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr std::int64_t kAnyVersion = std::numeric_limits<std::int64_t>::max();

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
  entry.incarnation =
      static_cast<std::uint64_t>(reader.Integer("incarnation", 0, kAnyVersion));
  entry.state = reader.FlagOr("leaving", false) ? InstanceState::kLeaving
                                                : InstanceState::kLive;
  BOOST_OUTCOME_TRY(reader.Finish());
  return entry;
}

// Decodes each element of the array member `key` of a JSON object.
template <typename T, typename F>
Result<std::vector<T>> DecodeItems(std::string_view body,
                                   std::string_view key,
                                   F decode) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  std::vector<T> items;
  for (const auto& item : reader.ItemsOr(key)) {
    BOOST_OUTCOME_TRY(auto decoded, decode(item));
    items.push_back(std::move(decoded));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return items;
}

}  // namespace

std::string EncodeTransaction(const Transaction& transaction) {
  json::array checks;
  for (const auto& check : transaction.checks) {
    checks.push_back(
        json::object{{"key", check.key}, {"version", check.version}});
  }
  json::array writes;
  for (const auto& write : transaction.writes) {
    json::object one{{"key", write.key}};
    if (write.value) {
      one["value"] = *write.value;
    }
    writes.push_back(std::move(one));
  }
  return json::serialize(json::object{{"checks", std::move(checks)},
                                      {"writes", std::move(writes)}});
}

Result<Transaction> DecodeTransaction(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  Transaction transaction;
  for (const auto& item : reader.ItemsOr("checks")) {
    ObjectReader check(item, "/checks");
    auto key = check.Text("key");
    const auto version = check.Integer("version", 0, kAnyVersion);
    BOOST_OUTCOME_TRY(check.Finish());
    transaction.checks.push_back(
        {std::move(key), static_cast<std::uint64_t>(version)});
  }
  for (const auto& item : reader.ItemsOr("writes")) {
    ObjectReader write(item, "/writes");
    RowWrite one{write.Text("key"), std::nullopt};
    if (const auto* text = write.Any("value"); text != nullptr) {
      one.value = write.TextOr("value", "");
    }
    BOOST_OUTCOME_TRY(write.Finish());
    transaction.writes.push_back(std::move(one));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return transaction;
}

std::string EncodeCommit(const Commit& commit) {
  return json::serialize(json::object{{"committed", commit.committed},
                                      {"version", commit.version},
                                      {"conflict", commit.conflict}});
}

Result<Commit> DecodeCommit(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  Commit commit;
  commit.committed = reader.FlagOr("committed", false);
  commit.version =
      static_cast<std::uint64_t>(reader.Integer("version", 0, kAnyVersion));
  commit.conflict = reader.TextOr("conflict", "");
  BOOST_OUTCOME_TRY(reader.Finish());
  return commit;
}

std::string EncodeReadQuery(const ReadQuery& query) {
  return json::serialize(
      json::object{{"keys", json::value_from(query.keys)},
                   {"prefixes", json::value_from(query.prefixes)},
                   {"newer_than", query.newer_than}});
}

Result<ReadQuery> DecodeReadQuery(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  ReadQuery query;
  query.keys = reader.TextsOr("keys");
  query.prefixes = reader.TextsOr("prefixes");
  query.newer_than = static_cast<std::uint64_t>(
      reader.IntegerOr("newer_than", 0, kAnyVersion, 0));
  BOOST_OUTCOME_TRY(reader.Finish());
  return query;
}

std::string EncodeRows(const std::vector<Row>& rows) {
  json::array items;
  for (const auto& row : rows) {
    items.push_back(json::object{
        {"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  return json::serialize(json::object{{"rows", std::move(items)}});
}

Result<std::vector<Row>> DecodeRows(std::string_view body) {
  return DecodeItems<Row>(
      body, "rows", [](const json::value& item) -> Result<Row> {
        ObjectReader reader(item, "/rows");
        Row row{reader.Text("key"), reader.TextOr("value", ""), 0};
        row.version = static_cast<std::uint64_t>(
            reader.Integer("version", 0, kAnyVersion));
        BOOST_OUTCOME_TRY(reader.Finish());
        return row;
      });
}

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
  return DecodeItems<InstanceEntry>(body, "instances", ToInstance);
}

Result<std::vector<std::string>> DecodeNames(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  auto names = reader.TextsOr("names");
  BOOST_OUTCOME_TRY(reader.Finish());
  return names;
}

}  // namespace jackdaw
