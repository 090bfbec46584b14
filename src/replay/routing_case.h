#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "core/random.h"
#include "replay/batching_engine.h"

namespace jackdaw {

/// A fleet and its load for the routing experiment.
struct RoutingCase {
  std::string_view name;
  std::uint32_t engines = 0;
  std::uint32_t domains = 0;
  std::uint32_t instances = 0;
  std::uint32_t models = 0;
  std::uint32_t adapters = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t models_per_engine = 0;
  double requests_per_s = 0;
  std::int64_t mean_output_tokens = 0;
  Micros time{};
  /// Time between two reports of one target to one instance.
  Micros poll{};
  BatchingShape shape;
};

/// @returns the case of that name, null where there is none
const RoutingCase* FindRoutingCase(std::string_view name);

/// A request of the experiment.
struct RoutingRequest {
  Instant arrival{};
  std::uint32_t instance = 0;
  std::uint32_t workspace = 0;
  std::uint32_t model = 0;
  std::string adapter;
  EngineWork work;
};

/// Number of workspaces; a few are large.
inline constexpr std::uint32_t kRoutingWorkspaces = 5;

/// Draws the requests of a case, in order of arrival.
std::vector<RoutingRequest> DrawRequests(const RoutingCase& shape,
                                         Random& random);

/// Places the models on the engines by their demand, at least two copies each.
FleetConfig PlaceModels(const RoutingCase& shape);

}  // namespace jackdaw
