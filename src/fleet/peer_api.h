#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/object_reader.h"
#include "core/random.h"
#include "fleet/dispatch_notifier.h"
#include "fleet/fleet_agent.h"
#include "gateway/fleet_client.h"
#include "http/client.h"
#include "http/server.h"

namespace jackdaw::serving {

/// Sends and serves the requests between instances for units of a workspace's
/// quota, for adapters, which the leader loads, and for leave to send to
/// limited targets; a caller's request waits for them. Also serves the
/// heartbeats and announces dispatched requests. Units that were borrowed are
/// not given back.
class PeerApi final : public FleetClient {
 public:
  PeerApi(boost::asio::io_context& context,
          const MonotonicClock& clock,
          FleetAgent& agent,
          TargetRegistry& registry,
          LocalQuotas& quotas,
          const Endpoint& own);

  /// Starts to receive the dispatch notices of other instances.
  /// @returns kAddressInUse if the address cannot be bound
  Result<void> Listen() { return notifier_.Listen(); }

  void RequestUnits(std::string workspace,
                    double units,
                    std::function<void(double)> done) override;
  void SendHeartbeatNow() override { agent_.ExpediteHeartbeat(); }
  void AnnounceDispatch(const Target& target,
                        const RequestMetadata& call,
                        std::int64_t tokens) override;
  void LoadAdapter(std::string service,
                   std::string model,
                   std::string adapter,
                   std::function<void(TargetPtr)> done) override;
  void RequestSend(TargetPtr target,
                   std::function<void(SendPermission)> done) override;

  /// Heartbeats of followers that could not be decoded.
  std::uint64_t heartbeats_unreadable() const { return heartbeats_unreadable_; }

  /// Answers a request of another instance.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> ServeHeartbeat(HttpExchange& exchange);
  boost::asio::awaitable<SendPermission> RequestSend(TargetPtr target);
  SendPermission DecideSend(Target& target);
  HttpResponse AnswerSend(ObjectReader& reader);
  boost::asio::awaitable<double> RequestUnits(std::string workspace,
                                              double units);
  boost::asio::awaitable<TargetPtr> RequestAdapter(std::string service,
                                                   std::string model,
                                                   std::string adapter);
  boost::asio::awaitable<std::vector<std::string>>
  PlaceAsLeader(std::string service, std::string model, std::string adapter);
  TargetPtr RecordAdapterTargets(const std::vector<std::string>& ids,
                                 const std::string& name);

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  FleetAgent& agent_;
  TargetRegistry& registry_;
  LocalQuotas& quotas_;
  DispatchNotifier notifier_;
  HttpClient http_;
  Random random_;
  /// Time until which no units are requested for a workspace, after its peers
  /// could not lend enough.
  std::map<std::string, Instant> no_lender_until_;
  std::uint64_t heartbeats_unreadable_ = 0;
};

}  // namespace jackdaw::serving
