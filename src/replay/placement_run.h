#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "placement/demand_estimator.h"
#include "placement/load_queue.h"
#include "placement/planner.h"
#include "replay/demand_trace.h"
#include "replay/placement_shape.h"

namespace jackdaw {

/// Ways to place models that are compared.
enum class PlacementPolicy : std::uint8_t {
  kStatic,
  kLeastUsed,
  kGreedy,
  kPlanner,
  kOracle,
};

/// What one replay came to.
struct PlacementFigures {
  double attainment = 0;
  /// Tokens a second served in time by each accelerator.
  double attainment_per_accelerator = 0;
  double worst_workspace_attainment = 0;
  int moves = 0;
  /// Model-seconds in which a model had no copy, none on its way and no room.
  int unreachable = 0;
  /// Longest time in which a model had no ready copy, in seconds.
  int longest_without_copy_s = 0;
  /// Mean wall time of one plan of one node; not deterministic.
  double plan_us = 0;
};

/// Replays a demand trace in virtual time through the planner: targets are
/// split over nodes that plan in turn, loads go through the load queue.
class PlacementRun {
 public:
  /// @param lose_domain whether failure domain 0 is lost for ten minutes
  PlacementRun(const PlacementShape& shape,
               PlacementPolicy policy,
               std::uint64_t seed,
               bool lose_domain);

  PlacementFigures Run();

 private:
  struct Load {
    int model = 0;
    int target = 0;
    // Second at which it is done; 0 while it waits for the store.
    int done_at = 0;
  };
  struct Unload {
    int model = 0;
    int target = 0;
    int done_at = 0;
  };

  void BuildFleet();
  void PlaceAtStart();
  void SeeDemand(int second);
  void LoseDomain(int second);
  void PlanRound(int second);
  std::vector<PlacementAction> Ask(const std::vector<int>& own);
  void LeastUsedMoves(const std::vector<int>& own,
                      std::vector<PlacementAction>& moves);
  void Take(const PlacementAction& move, int second);
  void Advance(int second);
  void Count(int second);
  int LoadSeconds(const PlanModel& model) const;

  PlacementShape shape_;
  PlacementPolicy policy_;
  bool lose_domain_;
  Random random_;
  DemandTrace trace_;
  DemandEstimator estimate_;
  Planner planner_;
  PlannerInput fleet_;
  LoadQueue queue_;
  std::vector<Load> loads_;
  std::vector<Unload> unloads_;
  std::vector<std::int64_t> room_mb_;
  std::vector<int> without_copy_;
  std::vector<std::vector<double>> workspace_share_;
  std::vector<double> workspace_asked_;
  std::vector<double> workspace_served_;
  double asked_ = 0;
  double served_ = 0;
  PlacementFigures figures_;
  double plan_us_ = 0;
  int plans_ = 0;
};

}  // namespace jackdaw
