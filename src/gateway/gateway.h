#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>

#include "core/event_loop.h"
#include "fleet/fleet_agent.h"
#include "fleet/peer_api.h"
#include "gateway/caller_listener.h"
#include "gateway/exchange.h"
#include "http/server.h"
#include "settings/gateway_settings.h"

namespace jackdaw::serving {

/// One instance of the gateway. It forwards callers' requests to targets and
/// exchanges state with its peers, all on one event loop. A request is never
/// handed to another thread, since the threads of a machine share less than one
/// processor.
class Gateway final : public CallerHandler {
 public:
  Gateway(const GatewaySettings& settings, std::string settings_path);
  ~Gateway() override;

  /// Binds and runs until the instance has been stopped and its work is done.
  /// @returns kAddressInUse if it cannot listen
  Result<void> Run();
  /// Starts a graceful shutdown, as SIGTERM does. Thread-safe.
  void Stop();
  /// Stops without notifying callers, targets or other instances, as in a
  /// crash. Thread-safe.
  void StopAbruptly();

  std::shared_ptr<CallerTask> StartTask(
      std::shared_ptr<CallerConnection> connection,
      CallerRequest request,
      Instant started_at) override;
  CallerLimits limits() const override;
  bool closing() const override { return agent_.draining(); }
  std::size_t other_descriptors() const override;

 private:
  Result<void> Listen();
  void AwaitSignal();
  void OnStop();
  void CheckSettingsFile();
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
  TimerQueue timers_;
  TargetRegistry targets_;
  TargetConnectionPool target_connections_;
  LocalQuotas quotas_;
  RetryLimiter retries_;
  CrashTracker crashes_;
  DemandMeter demand_;
  MissingModelTracker missing_models_;
  ExchangeCounters counters_;
  GatewayMetrics metrics_;
  FleetAgent agent_;
  PeerApi peers_;
  ExchangeDependencies deps_;
  CallerListener listener_;
  HttpServer ready_server_;
  HttpServer directory_server_;
  HttpServer peer_server_;
  HttpServer metrics_server_;
  Instant stop_requested_at_{};
};

}  // namespace jackdaw::serving
