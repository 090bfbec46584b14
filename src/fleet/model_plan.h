#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "gateway/demand_meter.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// What a target of a service holds, for planning.
struct EngineView {
  std::string id;
  std::vector<std::string> models;
  /// Models whose weights lie near, so that a load draws on nothing shared.
  std::vector<std::string> near_models;
  /// An order is under way, or one without an answer may still come.
  bool busy = false;

  bool Holds(const std::string& model) const;
  bool IsNear(const std::string& model) const;
};

/// A change to what one target holds: `unload` makes room, then `load` comes.
struct ModelMove {
  std::string engine;
  std::string load;
  /// Models that are unloaded before.
  std::vector<std::string> unload;
  /// The load draws on the weight store.
  bool from_store = true;
  /// No target held the model.
  bool unmet = false;
};

/// Demand for the models of one service, in tokens per second.
using ModelLoads = std::map<std::string, Demand>;

/// Plans the next change to what the targets of one service hold: a model
/// that is asked for and held nowhere first, then the model with the highest
/// demand for each copy. A model's last copy is never given up while the model
/// is asked for; copies that bear the least demand give way.
/// @param loads_free loads that may begin from the weight store now
/// @returns the change worth most, or none
std::optional<ModelMove> PlanMove(const EngineSpec& offer,
                                  const std::vector<EngineView>& engines,
                                  const ModelLoads& loads,
                                  int loads_free);

}  // namespace jackdaw::serving
