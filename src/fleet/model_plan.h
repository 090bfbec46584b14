#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "gateway/demand_meter.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// The models that a target of a service holds, as input for planning.
struct EngineView {
  std::string id;
  std::vector<std::string> models;
  /// Models whose weights are on the target's disk or in its host memory, so
  /// that a load uses no shared resource.
  std::vector<std::string> near_models;
  /// An order is in progress, or one that was not answered may still be
  /// executed.
  bool busy = false;
  /// Work that the target does in a given time, relative to the mean of the
  /// targets of its service. Demand counts for more at a slow target.
  double speed = 1;

  bool Holds(const std::string& model) const;
  bool IsNear(const std::string& model) const;
};

/// A change of the models that one target holds: the models of `unload` are
/// unloaded, then `load` is loaded.
struct PlacementMove {
  /// Id of the target.
  std::string engine;
  std::string load;
  /// Models that are unloaded first, to free memory.
  std::vector<std::string> unload;
  /// The weights are read from the weight store.
  bool from_store = true;
  /// No target holds the model before the move.
  bool is_first_copy = false;
};

/// Demand for the models of one service, by name.
using DemandByModel = std::map<std::string, Demand>;

/// Plans the next move for the targets of one service. Models that are
/// requested and held by no target come first, then additional copies where all
/// holders of a model are heavily loaded, then models without demand where
/// memory is free. To free memory, the copies with the least demand are
/// unloaded, but never the last copy of a model that is in demand.
/// @param available_loads loads from the weight store that may start now
/// @returns the possible move with the largest gain, or none
std::optional<PlacementMove> PlanMove(const EngineSpec& offer,
                                      const std::vector<EngineView>& engines,
                                      const DemandByModel& demand,
                                      int available_loads);

}  // namespace jackdaw::serving
