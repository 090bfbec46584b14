#include "placement/placement_state.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Largest magnitude of a number accepted when decoding.
constexpr std::int64_t kMaxNumber = 1LL << 60;

json::array ToArray(const std::vector<Artifact>& items) {
  json::array array;
  for (const auto& item : items) {
    array.push_back(
        json::object{{"name", item.name}, {"version", item.version}});
  }
  return array;
}

std::vector<Artifact> ReadModels(ObjectReader& reader, std::string_view key) {
  std::vector<Artifact> items;
  for (const auto& value : reader.ItemsOr(key)) {
    ObjectReader one(value, reader.PathOf(key));
    Artifact item;
    item.name = one.Text("name");
    item.version = one.IntegerOr("version", 1, kMaxNumber, 1);
    items.push_back(std::move(item));
  }
  return items;
}

}  // namespace

std::string EncodePlacementState(const PlacementState& state) {
  json::array targets;
  for (const auto& target : state.targets) {
    targets.push_back(json::object{{"name", target.name},
                                   {"usable", target.usable},
                                   {"free_mb", target.free_mb},
                                   {"ready", ToArray(target.ready)},
                                   {"incoming", ToArray(target.incoming)}});
  }
  json::array demand;
  for (const auto& [model, rate] : state.demand) {
    demand.push_back(json::object{{"model", model}, {"tokens_per_s", rate}});
  }
  return json::serialize(
      json::object{{"at_us", state.at.time_since_epoch().count()},
                   {"demand", std::move(demand)},
                   {"waiting", json::value_from(state.waiting)},
                   {"targets", std::move(targets)}});
}

Result<PlacementState> DecodePlacementState(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  PlacementState state;
  state.at = Instant{Micros(reader.Integer("at_us", 0, kMaxNumber))};
  for (const auto& item : reader.ItemsOr("demand")) {
    ObjectReader one(item, reader.PathOf("demand"));
    const std::string model = one.Text("model");
    state.demand[model] = one.Integer("tokens_per_s", 0, kMaxNumber);
    BOOST_OUTCOME_TRY(one.Finish());
  }
  state.waiting = reader.TextsOr("waiting");
  for (const auto& item : reader.ItemsOr("targets")) {
    ObjectReader one(item, reader.PathOf("targets"));
    TargetState target;
    target.name = one.Text("name");
    target.usable = one.FlagOr("usable", true);
    target.free_mb = one.IntegerOr("free_mb", -kMaxNumber, kMaxNumber, 0);
    target.ready = ReadModels(one, "ready");
    target.incoming = ReadModels(one, "incoming");
    BOOST_OUTCOME_TRY(one.Finish());
    state.targets.push_back(std::move(target));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return state;
}

TargetState StateOf(std::string_view name,
                    bool usable,
                    const MemoryAccounting& memory,
                    std::int64_t adapter_mb) {
  TargetState state;
  state.name = std::string(name);
  state.usable = usable;
  std::int64_t adapters = 0;
  std::int64_t unloading = 0;
  for (const auto& [item, allocation] : memory.allocations()) {
    if (item.kind == ArtifactKind::kAdapter) {
      adapters += allocation.memory_mb;
    } else if (allocation.state == AllocationState::kResident) {
      state.ready.push_back(item);
    } else if (allocation.state == AllocationState::kLoading) {
      state.incoming.push_back(item);
    } else {
      unloading += allocation.memory_mb;
    }
  }
  state.free_mb = memory.free_mb() + unloading -
                  std::max<std::int64_t>(0, adapter_mb - adapters);
  return state;
}

}  // namespace jackdaw
