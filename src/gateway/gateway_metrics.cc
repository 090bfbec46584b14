#include "gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

#include <chrono>

namespace jackdaw::serving {
namespace {

std::string_view KindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kAtMostOnce:
      return "at_most_once";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.2, 2, 4, 8, 15};
  return buckets;
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("jackdaw_requests_total")
                    .Help("Requests that ended, by kind of route, priority, "
                          "outcome and reason")
                    .Register(registry_)),
      late_responses_(prometheus::BuildCounter()
                          .Name("jackdaw_late_answers_total")
                          .Help("Answers whose first byte or a pause was late")
                          .Register(registry_)),
      time_to_first_byte_(prometheus::BuildHistogram()
                              .Name("jackdaw_first_byte_seconds")
                              .Help("Time to the first byte of an answer")
                              .Register(registry_)),
      total_time_(prometheus::BuildHistogram()
                      .Name("jackdaw_request_seconds")
                      .Help("Time to the end of a request")
                      .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("jackdaw_state")
                  .Help("State of the instance, by name")
                  .Register(registry_)) {}

void GatewayMetrics::OnRequestEnd(const RequestEnd& end) {
  const std::string kind(KindName(end.kind));
  requests_
      .Add({{"kind", kind},
            {"priority", std::to_string(end.priority)},
            {"outcome", std::string(end.outcome)},
            {"reason", std::string(end.reason)}})
      .Increment();
  if (end.late) {
    late_responses_.Add({{"kind", kind}}).Increment();
  }
  if (end.time_to_first_byte > 0us) {
    time_to_first_byte_.Add({{"kind", kind}}, LatencyBuckets())
        .Observe(Seconds(end.time_to_first_byte));
  }
  total_time_
      .Add({{"kind", kind}, {"outcome", std::string(end.outcome)}},
           LatencyBuckets())
      .Observe(Seconds(end.total_time));
}

std::string GatewayMetrics::Text(const GatewayState& state) {
  const auto set = [&](const char* name, double value) {
    gauges_.Add({{"name", name}}).Set(value);
  };
  set("requests_under_way", static_cast<double>(state.in_progress));
  set("requests_waiting", static_cast<double>(state.waiting));
  set("retries", static_cast<double>(state.retries));
  set("retries_denied", static_cast<double>(state.retries_denied));
  set("streams_resumed", static_cast<double>(state.resumed));
  set("targets_usable", static_cast<double>(state.targets_usable));
  set("targets_leaving", static_cast<double>(state.targets_leaving));
  set("targets_suspected", static_cast<double>(state.targets_suspected));
  set("targets_limited", static_cast<double>(state.targets_limited));
  set("targets_cold", static_cast<double>(state.targets_cold));
  set("limited_refusals", static_cast<double>(state.limited_refusals));
  set("left_domain_late", static_cast<double>(state.left_domain_late));
  set("left_domain_spillover",
      static_cast<double>(state.left_domain_spillover));
  set("left_domain_no_target",
      static_cast<double>(state.left_domain_no_target));
  set("spillover_share", state.spillover_share);
  set("requests_without_end", static_cast<double>(state.without_end));
  set("targets_resting", static_cast<double>(state.targets_resting));
  set("resting_refusals", static_cast<double>(state.resting_refusals));
  set("full_refusals", static_cast<double>(state.full_refusals));
  set("target_work_ratio", state.target_work_ratio);
  set("evacuated_domains", static_cast<double>(state.evacuated_domains));
  set("targets_evacuated", static_cast<double>(state.targets_evacuated));
  set("crash_requests", static_cast<double>(state.crash_requests));
  set("crash_blocked", static_cast<double>(state.crash_blocked));
  set("members", static_cast<double>(state.members));
  set("config_version", static_cast<double>(state.config_version));
  set("quota_share", state.quota_share);
  set("units_requested", static_cast<double>(state.units.requested));
  set("units_unanswered", static_cast<double>(state.units.unanswered));
  set("units_served", static_cast<double>(state.units.served));
  set("units_short", static_cast<double>(state.units.short_served));
  set("units_refused", static_cast<double>(state.units.refused));
  set("memory_held_bytes", static_cast<double>(state.memory_held));
  set("memory_bound_bytes", static_cast<double>(state.memory_bound));
  set("callers_connected", static_cast<double>(state.callers_connected));
  set("callers_paused", static_cast<double>(state.callers_paused));
  set("requests_dropped", static_cast<double>(state.requests_dropped));
  set("unread_dropped", static_cast<double>(state.unread_dropped));
  set("connections_evicted", static_cast<double>(state.connections_closed));
  set("target_connections", static_cast<double>(state.target_connections));
  set("store_calls", static_cast<double>(state.store_calls));
  set("store_calls_watch_leader",
      static_cast<double>(state.relay.watch_as_leader));
  set("store_calls_watch_follower",
      static_cast<double>(state.relay.watch_as_follower));
  set("store_calls_snapshot", static_cast<double>(state.relay.snapshot));
  set("store_calls_rows", static_cast<double>(state.relay.rows));
  set("relayed_bytes", static_cast<double>(state.relay.relayed_bytes));
  set("store_referrals_sent", static_cast<double>(state.relay.referrals_sent));
  set("store_referrals_received",
      static_cast<double>(state.relay.referrals_received));
  set("store_lost", state.store_lost ? 1 : 0);
  set("replies_unreadable", static_cast<double>(state.replies_unreadable));
  set("heartbeats_unreadable",
      static_cast<double>(state.heartbeats_unreadable));
  set("orders_sent", static_cast<double>(state.orders_sent));
  set("model_loads", static_cast<double>(state.model_loads));
  set("ready", state.ready ? 1 : 0);
  set("leads", state.leads ? 1 : 0);
  set("following", state.following ? 1 : 0);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace jackdaw::serving
