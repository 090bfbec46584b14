#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "fleet/fleet_agent.h"
#include "fleet/peer_datagrams.h"
#include "quota/loan_book.h"
#include "quota/local_quotas.h"
#include "quota/unit_broker.h"
#include "quota/unit_exchange_counters.h"

namespace jackdaw::serving {

/// Connects the broker of units to the other instances: sends its requests,
/// charges units for those of others, and drives its timer.
class UnitExchange {
 public:
  using Done = std::function<void(ChargeOutcome)>;

  UnitExchange(boost::asio::io_context& context,
               const BootClock& clock,
               const FleetAgent& agent,
               LocalQuotas& quotas,
               PeerDatagrams& datagrams,
               std::string self);

  /// Charges units for a caller's request.
  /// @param done called once, perhaps before this returns
  void Charge(std::string_view workspace, double units, Done done);
  /// Returns the units of a request that has not run.
  void Refund(const QuotaCharge& charge);
  /// Handles requests for units, grants and returns of another instance.
  void OnMessage(const dispatch::PeerDatagram& message, const Endpoint& sender);
  const UnitExchangeCounters& counters() const { return counters_; }

 private:
  void UpdateMembers();
  void Lend(const dispatch::UnitsRequest& request,
            const Endpoint& sender,
            dispatch::PeerDatagram& reply);
  void Perform();
  void Send(const std::string& holder, const dispatch::PeerDatagram& message);
  void SetTimer();

  const BootClock& clock_;
  const FleetAgent& agent_;
  LocalQuotas& quotas_;
  PeerDatagrams& datagrams_;
  std::string self_;
  UnitBroker broker_;
  LoanBook loans_;
  boost::asio::steady_timer timer_;
  Instant timer_at_ = Instant::max();
  /// Id of the fleet view that the broker's members are of.
  std::string view_id_;
  std::map<std::string, Endpoint> addresses_;
  std::map<std::uint64_t, Done> waiting_;
  UnitExchangeCounters counters_;
};

}  // namespace jackdaw::serving
