// State of an instance, as it is served for scrapes.
#include "gateway/gateway.h"

namespace jackdaw::serving {

GatewayState Gateway::State() const {
  GatewayState state;
  const Instant now = clock_.Now();
  state.in_progress = counters_.in_progress;
  state.waiting = counters_.waiting;
  state.retries = counters_.retries;
  state.retries_denied = retries_.denied();
  state.store_calls = agent_.store_calls();
  state.relay = agent_.relay_counters();
  state.store_lost = agent_.store_lost();
  state.orders_sent = agent_.order_dispatcher().orders_sent();
  state.model_loads = agent_.order_dispatcher().loads_started();
  state.resumed = counters_.resumed;
  state.limited_refusals = counters_.limited_refusals;
  state.left_domain_late = counters_.left_domain_late;
  state.left_domain_spillover = counters_.left_domain_spillover;
  state.left_domain_no_target = counters_.left_domain_no_target;
  state.spillover_share = targets_.spillover_share();
  state.without_end = counters_.without_end;
  state.resting_refusals = counters_.resting_refusals;
  state.full_refusals = counters_.full_refusals;
  state.target_work_ratio = targets_.MeanWorkRatio(now);
  for (const auto& [id, target] : targets_.all()) {
    ++(target->leaving ? state.targets_leaving : state.targets_usable);
    state.targets_suspected += now < target->backoff_until ? 1 : 0;
    state.targets_evacuated += target->evacuated ? 1 : 0;
    state.targets_resting += target->notice.Rests(now) ? 1 : 0;
    state.targets_limited += target->rate_limit.limited() ? 1 : 0;
    state.targets_cold += target->rate_limit.cold(now) ? 1 : 0;
  }
  state.evacuated_domains = targets_.evacuated_domains().size();
  state.crash_requests = crashes_.tracked_requests();
  state.crash_blocked = crashes_.BlockedRequests(now).size();
  const ConfigPtr config = agent_.config();
  state.config_version = config == nullptr ? 0 : config->version;
  state.members = agent_.Peers().size() + 1;
  state.quota_share = static_cast<double>(quotas_.parts().count()) /
                      static_cast<double>(kQuotaParts);
  state.units = peers_.unit_counters();
  state.ready = agent_.ready();
  state.leads = agent_.leads();
  state.following = agent_.following();
  const CallerResources& callers = listener_.resources();
  state.memory_held = callers.budget.bytes();
  state.memory_bound = callers.budget.limits().bytes;
  state.callers_connected = callers.budget.connections();
  state.callers_paused = callers.budget.paused();
  state.requests_dropped = callers.requests_dropped;
  state.unread_dropped = callers.unread_dropped;
  state.connections_closed = callers.connections_closed;
  state.target_connections = target_connections_.open();
  state.heartbeats_unreadable = peers_.heartbeats_unreadable();
  state.replies_unreadable = agent_.replies_unreadable();
  return state;
}

boost::asio::awaitable<void> Gateway::ServeMetrics(HttpExchange& exchange) {
  HttpResponse response;
  if (exchange.request().Path() != "/metrics") {
    response.status = 404;
  } else {
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = metrics_.Text(State());
  }
  co_await exchange.Respond(std::move(response));
}

}  // namespace jackdaw::serving
