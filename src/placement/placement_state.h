#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "placement/memory_ledger.h"

namespace jackdaw {

/// What the holder of a target's lease publishes of it.
struct TargetState {
  std::string name;
  bool usable = true;
  /// Memory that models may still take, counting unloads under way.
  std::int64_t free_mb = 0;
  std::vector<Artifact> ready;
  std::vector<Artifact> incoming;
};

/// What one instance publishes for the planners of all: its callers' demand
/// and its targets. One row of the table for each instance.
struct PlacementState {
  Instant at{};
  /// Tokens a second for each model.
  std::map<std::string, std::int64_t, std::less<>> demand;
  /// Models without a copy that its callers wait for.
  std::vector<std::string> waiting;
  std::vector<TargetState> targets;
};

inline constexpr std::string_view kPlacementPrefix = "placement/";

std::string EncodePlacementState(const PlacementState& state);
Result<PlacementState> DecodePlacementState(std::string_view value);

/// State of a target according to its ledger.
/// @param adapter_mb memory kept for adapters
TargetState StateOf(std::string_view name,
                    bool usable,
                    const MemoryLedger& ledger,
                    std::int64_t adapter_mb);

}  // namespace jackdaw
