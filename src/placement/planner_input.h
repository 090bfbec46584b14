#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jackdaw {

/// A target as the planner sees it. Models are indexes into
/// PlannerInput::models.
struct PlanTarget {
  std::string name;
  int domain = 0;
  /// False when the target is draining, excluded or unreachable. A target
  /// without published state is assumed usable.
  bool usable = true;
  /// Maximum tokens per second that it generates for all models together.
  double capacity = 0;
  /// Memory available for loads. Includes memory of unloads in progress and
  /// excludes the adapter reserve; may be negative.
  std::int64_t free_mb = 0;
  /// Models that the target serves now.
  std::vector<int> ready;
  /// Models being loaded or about to be loaded.
  std::vector<int> incoming;
  /// Models in `ready` whose version is outdated.
  std::vector<int> stale;
};

/// A model of the configuration. Rates are in tokens per second.
struct PlanModel {
  std::string name;
  std::int64_t memory_mb = 0;
  /// Current demand.
  double demand = 0;
  /// Recent peak of the demand.
  double peak = 0;
  /// Whether callers wait for it because no target has a copy.
  bool waiting = false;
  /// Indexes of the targets that may hold it.
  std::vector<int> targets;
  /// Indexes of the targets to which an operator has pinned it.
  std::vector<int> pinned;
};

/// State of the fleet and its demand as one instance knows them. The inputs of
/// different instances may differ for a short time.
struct PlannerInput {
  std::vector<PlanTarget> targets;
  std::vector<PlanModel> models;
};

/// Reason for a load or an unload.
enum class PlacementReason : std::uint8_t {
  kNoCopy,
  kPinned,
  kNewVersion,
  kUnmetDemand,
  kSecondDomain,
  kMakeRoom,
};

/// A load or an unload of a model at a target.
struct PlacementAction {
  /// False for an unload.
  bool load = true;
  int model = 0;
  int target = 0;
  PlacementReason reason = PlacementReason::kNoCopy;
  /// Expected gain in tokens per second served; for an unload, the loss.
  double gain = 0;
};

/// Returns the reason as text for operators.
std::string_view NameOf(PlacementReason reason);

}  // namespace jackdaw
