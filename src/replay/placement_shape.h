#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jackdaw {

/// Size of a deployment whose placement is replayed.
struct PlacementShape {
  std::string_view name;
  int nodes = 8;
  int engines = 12;
  int domains = 3;
  int models = 20;
  int accelerators_per_engine = 1;
  int store_slots = 2;
  int store_loads_per_s = 2;
  /// Seconds replayed, and between two plans of a node.
  int seconds = 7200;
  int round_seconds = 5;
};

/// @returns the shape of that name, or nothing
std::optional<PlacementShape> FindPlacementShape(std::string_view name);

}  // namespace jackdaw
