#pragma once

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "fleet/leadership.h"
#include "fleet/member_table.h"
#include "fleet/order_dispatcher.h"
#include "gateway/exchange_dependencies.h"

namespace jackdaw::serving {

/// The leader's placement of models: makes targets hold the models that are
/// requested.
class ModelPlacer {
 public:
  ModelPlacer(boost::asio::io_context& context,
              const MonotonicClock& clock,
              OrderDispatcher& dispatcher,
              const MemberTable& members,
              const DemandMeter& own_demand,
              std::string own_name);

  /// Plans at most one move for each service and starts it.
  /// @param as_of current time; silent members are left out
  void Plan(const ServingConfig& config, Instant as_of);

 private:
  void PlanService(const Service& service, Instant as_of);
  DemandByModel SmoothedDemand(const Service& service,
                               const DemandByModel& current);
  DemandByModel FleetDemand(const Service& service, Instant as_of) const;

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  OrderDispatcher& dispatcher_;
  const MemberTable& members_;
  const DemandMeter& own_demand_;
  std::string own_name_;
  std::map<std::string, DemandByModel> averages_;
  Instant averaged_at_{};
  Instant last_rebalance_at_{};
};

}  // namespace jackdaw::serving
