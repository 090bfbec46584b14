#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jackdaw {

/// A target as the planner sees it; models are indexes into
/// PlannerInput::models.
struct PlanTarget {
  std::string name;
  int domain = 0;
  /// False once the target is leaving, excluded or not reached.
  bool usable = true;
  /// Tokens a second that it generates with all models together.
  double capacity = 0;
  /// Memory in which nothing is held and that may be loaded into.
  std::int64_t free_mb = 0;
  /// Models that serve there now.
  std::vector<int> ready;
  /// Models being loaded or about to be.
  std::vector<int> incoming;
  /// Models among `ready` in an older version.
  std::vector<int> stale;
};

/// A model that is offered, with its demand in tokens a second.
struct PlanModel {
  std::string name;
  std::int64_t memory_mb = 0;
  /// What is asked now.
  double demand = 0;
  /// What was asked at the most in recent time.
  double peak = 0;
  /// Whether callers wait for it with no copy anywhere.
  bool waiting = false;
  /// Targets that may hold it.
  std::vector<int> targets;
  /// Targets on which an operator wants it.
  std::vector<int> pinned;
};

/// All that a plan is made from: the same at every instance.
struct PlannerInput {
  std::vector<PlanTarget> targets;
  std::vector<PlanModel> models;
};

/// Why a move is made.
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
  bool load = true;
  int model = 0;
  int target = 0;
  PlacementReason reason = PlacementReason::kNoCopy;
  /// Tokens a second that it is expected to gain; for an unload, to lose.
  double gain = 0;
};

std::string_view NameOf(PlacementReason reason);

}  // namespace jackdaw
