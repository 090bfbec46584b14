#pragma once

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "fleet/leadership.h"
#include "fleet/member_table.h"
#include "fleet/order_dispatcher.h"
#include "gateway/exchange_ports.h"

namespace jackdaw::serving {

/// The leader's duty to have models where they are asked for.
class ModelPlacer {
 public:
  ModelPlacer(boost::asio::io_context& context,
              const MonotonicClock& clock,
              OrderDispatcher& dispatcher,
              const MemberTable& members,
              const DemandMeter& own_demand,
              std::string own_name);

  /// Plans one change for each service and has it carried out.
  /// @param read_at moment up to which members told of themselves
  void Plan(const ServingConfig& config, Instant read_at);

 private:
  void PlanService(const Service& service, Instant read_at);
  DemandByModel SmoothedDemand(const Service& service,
                               const DemandByModel& current);
  DemandByModel FleetDemand(const Service& service, Instant read_at) const;

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  OrderDispatcher& dispatcher_;
  const MemberTable& members_;
  const DemandMeter& own_demand_;
  std::string own_name_;
  std::map<std::string, DemandByModel> averages_;
  Instant averaged_at_{};
  Instant last_shift_at_{};
};

}  // namespace jackdaw::serving
