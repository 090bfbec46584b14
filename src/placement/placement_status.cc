#include <boost/json.hpp>

#include "placement/placement_agent.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

std::string_view NameOf(AllocationState state) {
  switch (state) {
    case AllocationState::kLoading:
      return "loading";
    case AllocationState::kResident:
      return "resident";
    case AllocationState::kUnloading:
      return "unloading";
    default:
      return "settling";
  }
}

std::string DescribeCopy(const PlanModel& model, std::size_t copies) {
  const auto demand = std::to_string(static_cast<std::int64_t>(model.demand));
  return copies <= 1 ? "only copy"
                     : "1 of " + std::to_string(copies) + " copies for " +
                           demand + " tokens/s";
}

}  // namespace

void PlacementAgent::PublishStatus() {
  const auto copies = CopiesOf(planner_input_, false);
  json::array placed;
  for (const auto& [name, managed] : managed_) {
    if (!managed.controller.lease().HeldAt(clock_.Now())) {
      continue;
    }
    for (const auto& [item, allocation] :
         managed.controller.memory().allocations()) {
      std::string why;
      for (std::size_t m = 0; m < planner_input_.models.size(); ++m) {
        if (item.kind == ArtifactKind::kModel &&
            planner_input_.models[m].name == item.name) {
          why = DescribeCopy(planner_input_.models[m], copies[m].size());
        }
      }
      placed.push_back(json::object{{"target", name},
                                    {"item", ToText(item)},
                                    {"state", NameOf(allocation.state)},
                                    {"memory_mb", allocation.memory_mb},
                                    {"why", why}});
    }
  }
  json::array actions;
  for (const PlacementAction& move : actions_) {
    const auto at = static_cast<std::size_t>(move.target);
    const auto model = static_cast<std::size_t>(move.model);
    actions.push_back(json::object{
        {"move", move.load ? "load" : "unload"},
        {"model", planner_input_.models[model].name},
        {"target", planner_input_.targets[at].name},
        {"reason", NameOf(move.reason)},
        {"gain_tokens_per_s",
         static_cast<std::int64_t>(move.load ? move.gain : -move.gain)}});
  }
  json::array leases;
  for (const auto& [name, managed] : managed_) {
    if (managed.controller.lease().HeldAt(clock_.Now())) {
      leases.push_back(
          json::object{{"target", name},
                       {"fence", managed.controller.lease().fence()},
                       {"pending_orders", managed.controller.pending()},
                       {"free_mb", managed.controller.memory().free_mb()},
                       {"usable", IsUsable(managed)}});
    }
  }
  status_.store(std::make_shared<const std::string>(
      json::serialize(json::object{{"instance", self_},
                                   {"leases", std::move(leases)},
                                   {"placed", std::move(placed)},
                                   {"moves", std::move(actions)}})));
}

}  // namespace jackdaw
