#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "core/clock.h"
#include "core/object_reader.h"
#include "fleet/dispatch_notifier.h"
#include "fleet/fleet_agent.h"
#include "fleet/peer_datagrams.h"
#include "fleet/unit_exchange.h"
#include "gateway/fleet_client.h"
#include "http/client.h"
#include "http/server.h"

namespace jackdaw::serving {

/// Sends and serves the requests between instances for units of a workspace's
/// quota, for adapters, which the leader loads, and for leave to send to
/// limited targets; a caller's request waits for them. Also serves the
/// heartbeats and announces dispatched requests.
class PeerApi final : public FleetClient {
 public:
  PeerApi(boost::asio::io_context& context,
          const MonotonicClock& clock,
          FleetAgent& agent,
          TargetRegistry& registry,
          LocalQuotas& quotas,
          const BootClock& boot_clock,
          const GatewaySettings& settings);

  /// Starts to receive the datagrams of other instances.
  /// @returns kAddressInUse if the address cannot be bound
  Result<void> Listen() { return datagrams_.Listen(); }

  void ChargeUnits(std::string_view workspace,
                   double units,
                   std::function<void(ChargeOutcome)> done) override;
  void RefundUnits(const QuotaCharge& charge) override {
    units_.Refund(charge);
  }
  void SendHeartbeatNow() override { agent_.ExpediteHeartbeat(); }
  void AnnounceDispatch(const Target& target,
                        const RequestMetadata& call,
                        const SentRequest& sent) override;
  void AnnounceSend(const Target& target, bool granted) override {
    notifier_.AnnounceSend(target, granted);
  }
  void LoadAdapter(std::string service,
                   std::string model,
                   std::string adapter,
                   std::function<void(TargetPtr)> done) override;
  void RequestSend(TargetPtr target,
                   std::function<void(SendPermission)> done) override;

  const UnitExchangeCounters& unit_counters() const {
    return units_.counters();
  }
  /// Heartbeats of followers that could not be decoded.
  std::uint64_t heartbeats_unreadable() const { return heartbeats_unreadable_; }

  /// Answers a request of another instance.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> ServeHeartbeat(HttpExchange& exchange);
  boost::asio::awaitable<SendPermission> RequestSend(TargetPtr target);
  SendPermission DecideSend(Target& target);
  HttpResponse AnswerSend(ObjectReader& reader);
  boost::asio::awaitable<TargetPtr> RequestAdapter(std::string service,
                                                   std::string model,
                                                   std::string adapter);
  boost::asio::awaitable<std::vector<std::string>>
  PlaceAsLeader(std::string service, std::string model, std::string adapter);
  TargetPtr RecordAdapterTargets(const std::vector<std::string>& ids,
                                 const std::string& name);

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  const BootClock& boot_clock_;
  FleetAgent& agent_;
  TargetRegistry& registry_;
  PeerDatagrams datagrams_;
  DispatchNotifier notifier_;
  UnitExchange units_;
  HttpClient http_;
  std::uint64_t heartbeats_unreadable_ = 0;
};

}  // namespace jackdaw::serving
