#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <string_view>

#include "core/time.h"
#include "fleet/relay_counters.h"
#include "quota/unit_exchange_counters.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Result of one request.
struct RequestEnd {
  RouteKind kind = RouteKind::kAtMostOnce;
  int priority = 5;
  std::string_view outcome;
  std::string_view reason;
  /// Zero if no byte of a target's response was forwarded.
  Micros time_to_first_byte{};
  Micros total_time{};
  bool late = false;
};

/// State of the instance at the time of a scrape.
struct GatewayState {
  std::uint64_t in_progress = 0;
  std::uint64_t waiting = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t resumed = 0;
  std::uint64_t targets_usable = 0;
  std::uint64_t targets_leaving = 0;
  std::uint64_t targets_suspected = 0;
  /// Targets that name a limit of requests a second.
  std::uint64_t targets_limited = 0;
  /// Targets that are cold.
  std::uint64_t targets_cold = 0;
  /// Requests that were refused because all their targets have a limit.
  std::uint64_t limited_refusals = 0;
  /// Attempts that left the failure domain, by reason; see ExchangeCounters.
  std::uint64_t left_domain_late = 0;
  std::uint64_t left_domain_spillover = 0;
  std::uint64_t left_domain_no_target = 0;
  /// Part of the requests that leaves while the domain is short, from 0 to 1.
  double spillover_share = 0;
  /// Requests that ended without an outcome.
  std::uint64_t without_end = 0;
  /// Targets that asked this instance for rest.
  std::uint64_t targets_resting = 0;
  /// Requests that were refused because all their targets did.
  std::uint64_t resting_refusals = 0;
  /// Requests that were refused because the memory of all their targets is
  /// full.
  std::uint64_t full_refusals = 0;
  /// Mean ratio of the time of work to its nominal time at the targets that
  /// report it; 0 if none does.
  double target_work_ratio = 0;
  /// Failure domains that the operator has evacuated, and targets there.
  std::uint64_t evacuated_domains = 0;
  std::uint64_t targets_evacuated = 0;
  /// Requests during which a target crashed, and those of them that are not
  /// sent any more.
  std::uint64_t crash_requests = 0;
  std::uint64_t crash_blocked = 0;
  /// Instances in the fleet, this one included.
  std::uint64_t members = 0;
  std::int64_t config_version = 0;
  /// Share of the parts of all quotas that this instance holds, from 0 to 1.
  double quota_share = 0;
  UnitExchangeCounters units;
  /// Bytes held for callers and targets, and their bound.
  std::uint64_t memory_held = 0;
  std::uint64_t memory_bound = 0;
  /// Connections of callers, and those that are not read for lack of memory.
  std::uint64_t callers_connected = 0;
  std::uint64_t callers_paused = 0;
  /// Incomplete requests and unread responses that were given up for lack of
  /// memory, and connections that were closed for lack of descriptors.
  std::uint64_t requests_dropped = 0;
  std::uint64_t unread_dropped = 0;
  std::uint64_t connections_closed = 0;
  /// Connections to targets, in use or idle.
  std::uint64_t target_connections = 0;
  std::uint64_t store_calls = 0;
  /// Those calls by reason, and what was relayed.
  RelayCounters relay;
  /// Replies of the leader to heartbeats that could not be decoded.
  std::uint64_t replies_unreadable = 0;
  /// Heartbeats of followers that could not be decoded.
  std::uint64_t heartbeats_unreadable = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t model_loads = 0;
  /// The instance watches the store, and the store does not respond.
  bool store_lost = false;
  bool ready = false;
  bool leads = false;
  bool following = false;
};

/// Counters, gauges and histograms of one instance in the Prometheus text
/// format.
class GatewayMetrics {
 public:
  GatewayMetrics();

  void OnRequestEnd(const RequestEnd& end);
  /// Sets the gauges from `state`. @returns all metrics in the text format
  std::string Text(const GatewayState& state);

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& late_responses_;
  prometheus::Family<prometheus::Histogram>& time_to_first_byte_;
  prometheus::Family<prometheus::Histogram>& total_time_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  std::map<std::string, prometheus::Gauge*> state_;
};

}  // namespace jackdaw::serving
