#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/random.h"
#include "fleet/dispatch_link.h"
#include "fleet/fleet_agent.h"
#include "gateway/fleet_help.h"
#include "http/client.h"
#include "http/server.h"

namespace jackdaw::serving {

/// What instances ask each other while a request waits: units of a quota, and
/// adapters, which the leader has loaded.
class PeerDesk final : public FleetHelp {
 public:
  PeerDesk(boost::asio::io_context& context,
           const MonotonicClock& clock,
           FleetAgent& agent,
           TargetBoard& board,
           LocalQuotas& quotas,
           const Endpoint& own);

  /// Starts to hear the notices of other instances.
  /// @returns kAddressInUse where it cannot
  Result<void> Listen() { return dispatches_.Listen(); }

  void BorrowUnits(std::string workspace,
                   double units,
                   std::function<void(double)> done) override;
  void TellMissing() override { agent_.HastenBeat(); }
  void TellSent(const Target& target,
                const RequestMetadata& call,
                std::int64_t tokens) override;
  void LoadAdapter(std::string service,
                   std::string model,
                   std::string adapter,
                   std::function<void(TargetPtr)> done) override;

  /// Answers what another instance asks.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> ServeBeat(HttpExchange& exchange);
  boost::asio::awaitable<double> AskForUnits(std::string workspace,
                                             double units);
  boost::asio::awaitable<TargetPtr> AskForAdapter(std::string service,
                                                  std::string model,
                                                  std::string adapter);
  boost::asio::awaitable<std::vector<std::string>>
  PlaceHere(std::string service, std::string model, std::string adapter);
  TargetPtr TakeHolders(const std::vector<std::string>& ids,
                        const std::string& name);

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  FleetAgent& agent_;
  TargetBoard& board_;
  LocalQuotas& quotas_;
  DispatchLink dispatches_;
  HttpClient http_;
  Random random_;
  /// Workspaces for which the others had nothing to give, until when.
  std::map<std::string, Instant> nothing_until_;
};

}  // namespace jackdaw::serving
