#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "placement/memory_accounting.h"

namespace jackdaw {

/// State of a target as the holder of its lease publishes it.
struct TargetState {
  std::string name;
  bool usable = true;
  /// Memory available to models, including memory of unloads in progress.
  std::int64_t free_mb = 0;
  /// Resident models.
  std::vector<Artifact> ready;
  /// Models being loaded.
  std::vector<Artifact> incoming;
};

/// State that one instance publishes for the planners of all instances: the
/// demand of its callers and its targets. Stored as one row per instance.
struct PlacementState {
  /// When the state was published, by the clock of the instance that published
  /// it. For diagnosis; readers measure the age by their own clock.
  Instant at{};
  /// Tokens per second requested of each model.
  std::map<std::string, std::int64_t, std::less<>> demand;
  /// Models without a copy that callers of the instance wait for.
  std::vector<std::string> waiting;
  std::vector<TargetState> targets;
};

/// Key prefix of the rows, followed by the name of the instance.
inline constexpr std::string_view kPlacementKeyPrefix = "placement/";

std::string EncodePlacementState(const PlacementState& state);
Result<PlacementState> DecodePlacementState(std::string_view value);

/// Returns the state of a target according to its memory accounting.
/// @param adapter_mb memory reserved for adapters
TargetState StateOf(std::string_view name,
                    bool usable,
                    const MemoryAccounting& memory,
                    std::int64_t adapter_mb);

}  // namespace jackdaw
