#include "fleet/model_placer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cmath>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Time over which demand is averaged before copies follow it.
constexpr double kAverageSeconds = 1.2;
// Pause between two changes that only shift load.
constexpr Micros kShiftPause = 400ms;

}  // namespace

ModelPlacer::ModelPlacer(boost::asio::io_context& context,
                         const MonotonicClock& clock,
                         OrderDesk& desk,
                         const MemberTable& members,
                         const DemandMeter& own_demand,
                         std::string own_name)
    : context_(context),
      clock_(clock),
      desk_(desk),
      members_(members),
      own_demand_(own_demand),
      own_name_(std::move(own_name)) {}

void ModelPlacer::Plan(const ServingConfig& config, Instant read_at) {
  for (const Service& service : config.services) {
    if (service.engine) {
      PlanService(service, read_at);
    }
  }
}

void ModelPlacer::PlanService(const Service& service, Instant read_at) {
  const ModelLoads loads = Averaged(service, LoadsOf(service, read_at));
  const auto move = PlanMove(*service.engine, desk_.Views(service), loads,
                             desk_.LoadsFree(*service.engine));
  if (!move) {
    return;
  }
  const Instant now = clock_.Now();
  if (!move->unmet && now - shifted_at_ < kShiftPause) {
    return;
  }
  shifted_at_ = move->unmet ? shifted_at_ : now;
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
      context_, desk_.RunMove(service, *move),
      [](const std::exception_ptr& failure) {
        if (failure != nullptr) {
          Log(LogLevel::kError, "duty_failed", {{"duty", "move"}});
        }
      });
}

// Demand that has lasted for a while; a model that nobody asked for before is
// taken as it is.
ModelLoads ModelPlacer::Averaged(const Service& service,
                                 const ModelLoads& loads) {
  const Instant now = clock_.Now();
  const double span = std::chrono::duration<double>(now - averaged_at_).count();
  averaged_at_ = now;
  const double keep = std::exp(-std::min(span, 60.0) / kAverageSeconds);
  ModelLoads& average = averages_[service.name];
  for (auto& [model, demand] : average) {
    demand.tokens *= keep;
    demand.requests *= keep;
  }
  for (const auto& [model, demand] : loads) {
    Demand& sum = average[model];
    sum.tokens += (1 - keep) * demand.tokens;
    sum.requests += (1 - keep) * demand.requests;
    sum.unmet = demand.unmet;
  }
  return average;
}

// Demand of the fleet for the models of a service, adapters counted in.
ModelLoads ModelPlacer::LoadsOf(const Service& service, Instant read_at) const {
  ModelLoads loads;
  const auto add = [&](const ModelKey& key, const Demand& demand) {
    if (key.service != service.name) {
      return;
    }
    Demand& sum = loads[key.model.substr(0, key.model.find('/'))];
    sum.requests += demand.requests;
    sum.tokens += demand.tokens;
    sum.unmet += demand.unmet;
  };
  for (const MemberView& view : members_.Live(read_at)) {
    if (view.member.name == own_name_) {
      continue;
    }
    for (const ModelDemand& item : view.member.demand) {
      add(item.key, item.demand);
    }
  }
  for (const auto& [key, demand] : own_demand_.averages()) {
    add(key, demand);
  }
  return loads;
}

}  // namespace jackdaw::serving
