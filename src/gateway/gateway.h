#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>

#include "core/event_loop.h"
#include "fleet/fleet_agent.h"
#include "fleet/peer_desk.h"
#include "gateway/caller_listener.h"
#include "gateway/exchange.h"
#include "http/server.h"
#include "settings/gateway_settings.h"

namespace jackdaw::serving {

/// One instance on the platform: callers, targets and the fleet's matters on
/// one event loop. A request is never handed to another thread, since the
/// threads of a machine take turns on less than one processor.
class Gateway final : public CallerHandler {
 public:
  Gateway(const GatewaySettings& settings, std::string settings_path);
  ~Gateway() override;

  /// Binds and runs until the instance has been stopped and its work is done.
  /// @returns kAddressInUse where it cannot listen
  Result<void> Run();
  /// Asks for a planned stop, as SIGTERM does. Any thread may call it.
  void Stop();
  /// Ends without a word to callers, targets or other instances, as a crash
  /// does. Any thread may call it.
  void Abandon();

  std::shared_ptr<CallerTask> Begin(
      std::shared_ptr<CallerConnection> connection,
      CallerRequest request,
      Instant began) override;
  CallerLimits limits() const override;
  bool closing() const override { return agent_.draining(); }

 private:
  Result<void> Listen();
  void AwaitSignal();
  void OnStop();
  void OnReload();
  boost::asio::awaitable<void> RunDrain();
  boost::asio::awaitable<void> ServeReady(HttpExchange& exchange);
  boost::asio::awaitable<void> ServeDirectory(HttpExchange& exchange);
  boost::asio::awaitable<void> ServeMetrics(HttpExchange& exchange);
  GatewayState State() const;

  GatewaySettings settings_;
  std::string settings_path_;
  EventLoop context_;
  boost::asio::signal_set signals_;
  MonotonicClock clock_;
  BootClock boot_clock_;
  DeadlineQueue deadlines_;
  TargetBoard board_;
  LinkPool links_;
  LocalQuotas quotas_;
  RetryGate retries_;
  CrashMemory crashes_;
  DemandMeter demand_;
  ModelWaits waits_;
  ExchangeCounts counts_;
  GatewayMetrics metrics_;
  FleetAgent agent_;
  PeerDesk peers_;
  ExchangePorts ports_;
  CallerListener listener_;
  HttpServer ready_server_;
  HttpServer directory_server_;
  HttpServer peer_server_;
  HttpServer metrics_server_;
  Instant stop_at_{};
};

}  // namespace jackdaw::serving
