#include "orders/order.h"

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxMemoryMb = 10'000'000;
constexpr std::int64_t kMaxVersion = 1'000'000;
constexpr std::int64_t kMaxFence = 1LL << 52;

std::string_view NameOf(ArtifactKind kind) {
  return kind == ArtifactKind::kModel ? "model" : "adapter";
}

std::string_view NameOf(ArtifactState state) {
  switch (state) {
    case ArtifactState::kLoading:
      return "loading";
    case ArtifactState::kResident:
      return "resident";
    default:
      return "unloading";
  }
}

Artifact ReadArtifact(ObjectReader& reader) {
  Artifact item;
  const std::string kind = reader.Text("kind");
  if (kind != "model" && kind != "adapter") {
    reader.Fail("kind", "must be \"model\" or \"adapter\"");
  }
  item.kind = kind == "adapter" ? ArtifactKind::kAdapter : ArtifactKind::kModel;
  item.name = reader.Text("name");
  item.version = reader.IntegerOr("version", 1, kMaxVersion, 1);
  return item;
}

}  // namespace

std::string ToText(const Artifact& item) {
  return std::string(NameOf(item.kind)) + " " + item.name +
         (item.version == 1 ? "" : "@" + std::to_string(item.version));
}

json::object ToJson(const Order& order) {
  return {{"id", order.id},
          {"fence", order.fence},
          {"op", order.op == OrderOp::kLoad ? "load" : "unload"},
          {"kind", NameOf(order.item.kind)},
          {"name", order.item.name},
          {"version", order.item.version},
          {"memory_mb", order.memory_mb}};
}

Result<Order> ReadOrder(const json::value& value, std::string path) {
  ObjectReader reader(value, std::move(path));
  Order order;
  order.id = reader.Text("id");
  order.fence =
      static_cast<std::uint64_t>(reader.IntegerOr("fence", 0, kMaxFence, 0));
  const std::string op = reader.Text("op");
  if (op != "load" && op != "unload") {
    reader.Fail("op", "must be \"load\" or \"unload\"");
  }
  order.op = op == "unload" ? OrderOp::kUnload : OrderOp::kLoad;
  order.item = ReadArtifact(reader);
  order.memory_mb = reader.IntegerOr("memory_mb", 0, kMaxMemoryMb, 0);
  BOOST_OUTCOME_TRY(reader.Finish());
  return order;
}

std::string EncodeOrder(const Order& order) {
  return json::serialize(ToJson(order));
}

Result<Order> DecodeOrder(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  return ReadOrder(value, "");
}

json::array ToJson(const std::vector<EngineArtifact>& items) {
  json::array array;
  for (const auto& entry : items) {
    array.push_back(json::object{{"kind", NameOf(entry.item.kind)},
                                 {"name", entry.item.name},
                                 {"version", entry.item.version},
                                 {"memory_mb", entry.memory_mb},
                                 {"state", NameOf(entry.state)}});
  }
  return array;
}

Result<std::vector<EngineArtifact>> ReadEngineArtifacts(
    const std::vector<json::value>& values,
    const std::string& path) {
  std::vector<EngineArtifact> items;
  for (const auto& value : values) {
    ObjectReader reader(value, path);
    EngineArtifact entry;
    entry.item = ReadArtifact(reader);
    entry.memory_mb = reader.IntegerOr("memory_mb", 0, kMaxMemoryMb, 0);
    const std::string state = reader.Text("state");
    BOOST_OUTCOME_TRY(reader.Finish());
    entry.state = state == "resident"  ? ArtifactState::kResident
                  : state == "loading" ? ArtifactState::kLoading
                                       : ArtifactState::kUnloading;
    items.push_back(std::move(entry));
  }
  return items;
}

}  // namespace jackdaw
