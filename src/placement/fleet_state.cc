#include "placement/fleet_state.h"

#include <algorithm>
#include <set>

namespace jackdaw {
namespace {

using Indexes = std::map<std::string, int, std::less<>>;

void AddOnce(std::vector<int>& list, int value) {
  if (std::find(list.begin(), list.end(), value) == list.end()) {
    list.push_back(value);
  }
}

void FillFromState(const FleetConfig& config,
                   const Indexes& models,
                   const TargetState& state,
                   PlanTarget& target) {
  target.usable = target.usable && state.usable;
  target.free_mb = state.free_mb;
  for (const auto& item : state.ready) {
    const auto found = models.find(item.name);
    if (found == models.end()) {
      continue;
    }
    AddOnce(target.ready, found->second);
    const auto& model = config.models[static_cast<std::size_t>(found->second)];
    if (item.version < model.version) {
      AddOnce(target.stale, found->second);
    }
  }
  for (const auto& item : state.incoming) {
    if (const auto found = models.find(item.name); found != models.end()) {
      AddOnce(target.incoming, found->second);
    }
  }
}

}  // namespace

std::vector<std::string> EngineNames(const FleetConfig& config) {
  std::set<std::string> offered;
  for (const auto& deployment : config.deployments) {
    offered.insert(deployment.targets.begin(), deployment.targets.end());
  }
  std::vector<std::string> names;
  for (const auto& target : config.targets) {
    if (target.kind == TargetKind::kEngine && target.memory_mb > 0 &&
        offered.contains(target.name)) {
      names.push_back(target.name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

PlannerInput BuildPlannerInput(const FleetConfig& config,
                               const FleetState& fleet,
                               const DemandEstimator& demand,
                               std::int64_t now_ms) {
  PlannerInput input;
  Indexes models;
  Indexes targets;
  Indexes domains;
  for (const auto& model : config.models) {
    models[model.name] = static_cast<int>(input.models.size());
    const auto value = demand.EstimateFor(model.name);
    const bool waiting = std::find(fleet.waiting.begin(), fleet.waiting.end(),
                                   model.name) != fleet.waiting.end();
    input.models.push_back({model.name,
                            model.memory_mb,
                            value.demand,
                            value.peak,
                            waiting,
                            {},
                            {}});
  }
  const auto flag = [&](std::string_view setting, const std::string& scope) {
    return SettingFor(config, setting, scope, now_ms) != 0;
  };
  std::map<std::string_view, const Target*> by_name;
  for (const auto& target : config.targets) {
    by_name[target.name] = &target;
  }
  for (const auto& name : EngineNames(config)) {
    const Target& target = *by_name[name];
    targets[name] = static_cast<int>(input.targets.size());
    PlanTarget entry;
    entry.name = name;
    entry.domain =
        domains.emplace(target.failure_domain, static_cast<int>(domains.size()))
            .first->second;
    entry.usable = !flag("excluded", "target/" + name) &&
                   !config.IsEvacuated(target.failure_domain);
    entry.capacity = static_cast<double>(
        SettingFor(config, "engine_tokens_per_s", "target/" + name, now_ms) *
        target.accelerators);
    const auto state = fleet.targets.find(name);
    if (state != fleet.targets.end()) {
      FillFromState(config, models, state->second, entry);
    } else {
      for (const auto& [model, set] : fleet.copies) {
        if (Contains(set, name) && models.contains(model)) {
          entry.ready.push_back(models[model]);
        }
      }
    }
    input.targets.push_back(std::move(entry));
  }
  for (const auto& deployment : config.deployments) {
    for (const auto& model : deployment.models) {
      for (const auto& target : deployment.targets) {
        std::string scope = "placement/";
        scope.append(model).append("/").append(target);
        if (!targets.contains(target) || flag("excluded", scope)) {
          continue;
        }
        auto& entry = input.models[static_cast<std::size_t>(models[model])];
        AddOnce(entry.targets, targets[target]);
        if (flag("pinned", scope)) {
          AddOnce(entry.pinned, targets[target]);
        }
      }
    }
  }
  return input;
}

}  // namespace jackdaw
