#include "fleet/model_placer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cmath>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Time constant of the exponential average of demand that placement follows.
constexpr double kSmoothingSeconds = 1.2;
// Least time between two moves that only balance load.
constexpr Micros kMinRebalanceInterval = 400ms;

}  // namespace

ModelPlacer::ModelPlacer(boost::asio::io_context& context,
                         const MonotonicClock& clock,
                         OrderDispatcher& dispatcher,
                         const MemberTable& members,
                         const DemandMeter& own_demand,
                         std::string own_name)
    : context_(context),
      clock_(clock),
      dispatcher_(dispatcher),
      members_(members),
      own_demand_(own_demand),
      own_name_(std::move(own_name)) {}

void ModelPlacer::Plan(const ServingConfig& config, Instant as_of) {
  for (const Service& service : config.services) {
    if (service.engine) {
      PlanService(service, as_of);
    }
  }
}

void ModelPlacer::PlanService(const Service& service, Instant as_of) {
  const DemandByModel demand =
      SmoothedDemand(service, FleetDemand(service, as_of));
  const auto move =
      PlanMove(*service.engine, dispatcher_.Views(service), demand,
               dispatcher_.AvailableLoads(*service.engine));
  if (!move) {
    return;
  }
  const Instant now = clock_.Now();
  if (!move->is_first_copy &&
      now - last_rebalance_at_ < kMinRebalanceInterval) {
    return;
  }
  last_rebalance_at_ = move->is_first_copy ? last_rebalance_at_ : now;
  std::string unload;
  for (const std::string& model : move->unload) {
    unload += unload.empty() ? "" : ",";
    unload += model;
  }
  Log(LogLevel::kInfo, "move_planned",
      {{"target", move->engine},
       {"load", move->load},
       {"unload", unload},
       {"from_store", move->from_store ? "yes" : "no"}});
  boost::asio::co_spawn(
      context_, dispatcher_.ApplyMove(service, *move),
      [](const std::exception_ptr& failure) {
        if (failure != nullptr) {
          Log(LogLevel::kError, "duty_failed", {{"duty", "move"}});
        }
      });
}

// Averages the demand in tokens and requests, so that placement follows demand
// that has lasted for a while. Unmet demand is not averaged; the latest value
// counts.
DemandByModel ModelPlacer::SmoothedDemand(const Service& service,
                                          const DemandByModel& current) {
  const Instant now = clock_.Now();
  const double span = std::chrono::duration<double>(now - averaged_at_).count();
  averaged_at_ = now;
  const double decay = std::exp(-std::min(span, 60.0) / kSmoothingSeconds);
  DemandByModel& average = averages_[service.name];
  for (auto& [model, demand] : average) {
    demand.tokens *= decay;
    demand.requests *= decay;
  }
  for (const auto& [model, demand] : current) {
    Demand& sum = average[model];
    sum.tokens += (1 - decay) * demand.tokens;
    sum.requests += (1 - decay) * demand.requests;
    sum.unmet = demand.unmet;
  }
  return average;
}

// Returns the demand of all instances for the models of a service. The demand
// for an adapter counts for its model.
DemandByModel ModelPlacer::FleetDemand(const Service& service,
                                       Instant as_of) const {
  DemandByModel total;
  const auto add = [&](const ModelKey& key, const Demand& demand) {
    if (key.service != service.name) {
      return;
    }
    Demand& sum = total[key.model.substr(0, key.model.find('/'))];
    sum.requests += demand.requests;
    sum.tokens += demand.tokens;
    sum.unmet += demand.unmet;
  };
  for (const MemberRecord* record : members_.Live(as_of)) {
    if (record->member.name == own_name_) {
      continue;
    }
    for (const ModelDemand& item : record->member.demand) {
      add(item.key, item.demand);
    }
  }
  for (const auto& [key, demand] : own_demand_.averages()) {
    add(key, demand);
  }
  return total;
}

}  // namespace jackdaw::serving
