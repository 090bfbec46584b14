#include <boost/json.hpp>

#include "placement/placement_duty.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

std::string_view NameOf(HoldingState state) {
  switch (state) {
    case HoldingState::kLoading:
      return "loading";
    case HoldingState::kResident:
      return "resident";
    case HoldingState::kUnloading:
      return "unloading";
    default:
      return "settling";
  }
}

std::string WhyHere(const PlanModel& model, std::size_t copies) {
  const auto demand = std::to_string(static_cast<std::int64_t>(model.demand));
  return copies <= 1 ? "only copy"
                     : "1 of " + std::to_string(copies) + " copies for " +
                           demand + " tokens/s";
}

}  // namespace

void PlacementDuty::PublishStatus() {
  const auto copies = CopiesOf(plan_, false);
  json::array placed;
  for (const auto& [name, own] : own_) {
    if (!own.controller.lease().HeldAt(clock_.Now())) {
      continue;
    }
    for (const auto& [item, holding] : own.controller.ledger().holdings()) {
      std::string why;
      for (std::size_t m = 0; m < plan_.models.size(); ++m) {
        if (item.kind == ArtifactKind::kModel &&
            plan_.models[m].name == item.name) {
          why = WhyHere(plan_.models[m], copies[m].size());
        }
      }
      placed.push_back(json::object{{"target", name},
                                    {"item", ToText(item)},
                                    {"state", NameOf(holding.state)},
                                    {"memory_mb", holding.memory_mb},
                                    {"why", why}});
    }
  }
  json::array moves;
  for (const Move& move : moves_) {
    const auto at = static_cast<std::size_t>(move.target);
    const auto model = static_cast<std::size_t>(move.model);
    moves.push_back(json::object{
        {"move", move.load ? "load" : "unload"},
        {"model", plan_.models[model].name},
        {"target", plan_.targets[at].name},
        {"reason", NameOf(move.reason)},
        {"gain_tokens_per_s",
         static_cast<std::int64_t>(move.load ? move.gain : -move.gain)}});
  }
  json::array leases;
  for (const auto& [name, own] : own_) {
    if (own.controller.lease().HeldAt(clock_.Now())) {
      leases.push_back(
          json::object{{"target", name},
                       {"fence", own.controller.lease().fence()},
                       {"pending_orders", own.controller.pending()},
                       {"free_mb", own.controller.ledger().free_mb()},
                       {"usable", IsUsable(own)}});
    }
  }
  status_.store(std::make_shared<const std::string>(
      json::serialize(json::object{{"instance", self_},
                                   {"leases", std::move(leases)},
                                   {"placed", std::move(placed)},
                                   {"moves", std::move(moves)}})));
}

}  // namespace jackdaw
