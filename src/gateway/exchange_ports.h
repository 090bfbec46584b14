#pragma once

#include <memory>
#include <string>

#include "core/clock.h"
#include "gateway/crash_memory.h"
#include "gateway/deadline_queue.h"
#include "gateway/demand_meter.h"
#include "gateway/exchange_counts.h"
#include "gateway/fleet_help.h"
#include "gateway/gateway_metrics.h"
#include "gateway/link_pool.h"
#include "gateway/model_waits.h"
#include "gateway/retry_gate.h"
#include "gateway/target_board.h"
#include "quota/local_quotas.h"
#include "serving/config.h"

namespace jackdaw::serving {

using ConfigPtr = std::shared_ptr<const ServingConfig>;

/// The parts of an instance that a request uses.
struct ExchangePorts {
  const MonotonicClock& clock;
  DeadlineQueue& deadlines;
  TargetBoard& board;
  LinkPool& links;
  LocalQuotas& quotas;
  RetryGate& retries;
  CrashMemory& crashes;
  DemandMeter& demand;
  ModelWaits& waits;
  ExchangeCounts& counts;
  GatewayMetrics& metrics;
  FleetHelp& help;
};

}  // namespace jackdaw::serving
