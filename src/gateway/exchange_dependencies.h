#pragma once

#include <memory>
#include <string>

#include "core/clock.h"
#include "gateway/crash_tracker.h"
#include "gateway/demand_meter.h"
#include "gateway/exchange_counters.h"
#include "gateway/fleet_client.h"
#include "gateway/gateway_metrics.h"
#include "gateway/missing_model_tracker.h"
#include "gateway/retry_limiter.h"
#include "gateway/target_connection_pool.h"
#include "gateway/target_registry.h"
#include "gateway/timer_queue.h"
#include "serving/config.h"

namespace jackdaw::serving {

using ConfigPtr = std::shared_ptr<const ServingConfig>;

/// The components of an instance that requests use.
struct ExchangeDependencies {
  const MonotonicClock& clock;
  TimerQueue& timers;
  TargetRegistry& targets;
  TargetConnectionPool& connections;
  RetryLimiter& retries;
  CrashTracker& crashes;
  DemandMeter& demand;
  MissingModelTracker& missing_models;
  ExchangeCounters& counters;
  GatewayMetrics& metrics;
  FleetClient& fleet;
};

}  // namespace jackdaw::serving
