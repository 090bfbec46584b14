#include "instance/instance.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <optional>

#include "core/digest.h"
#include "core/log.h"
#include "core/signature.h"
#include "drain/drain_plan.h"
#include "entry/caller_service.h"
#include "instance/budget_agent.h"
#include "instance/context.h"
#include "instance/fleet_watcher.h"
#include "operator/operator_service.h"
#include "peer/peer_service.h"
#include "targets/report_poller.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kTaskQueueCapacity = 8192;
constexpr std::size_t kEventLogCapacity = 16'384;
// Interval between two steps of a drain.
constexpr auto kDrainPollInterval = std::chrono::milliseconds(50);

constexpr std::size_t kMegabyte = 1024UL * 1024;
// Largest request of an operator, which is a configuration.
constexpr std::uint64_t kOperatorBodyBytes = 16 * kMegabyte;
constexpr std::uint32_t kOperatorConnections = 256;
// Bound of the kernel's buffers of a connection.
constexpr int kSocketBytes = 4 * 1024;
// Length of the queues of connections that are not yet accepted.
constexpr int kCallerBacklog = 1024;
constexpr int kOperatorBacklog = 128;

// Bound of what a server holds of incomplete requests, of running ones and of
// responses. Two of the largest requests fit.
std::size_t TotalBytes(const InstanceSettings& settings,
                       std::uint64_t body_bytes) {
  const auto memory = static_cast<std::size_t>(settings.memory_mb) * kMegabyte;
  return std::max<std::size_t>(memory / 8, 2 * body_bytes);
}

HttpLimits CallerLimits(const InstanceSettings& settings) {
  HttpLimits limits;
  limits.body_bytes = static_cast<std::uint64_t>(settings.body_bytes);
  limits.connections = static_cast<std::uint32_t>(settings.connections);
  limits.total_bytes = TotalBytes(settings, limits.body_bytes);
  limits.socket_bytes = kSocketBytes;
  limits.backlog = kCallerBacklog;
  return limits;
}

// Seeds the router with the instance's name, so that instances with the same
// load reports choose differently among equal targets.
RouterOptions RouterSetupFor(const InstanceSettings& settings) {
  RouterOptions setup;
  setup.failure_domain = settings.failure_domain;
  Signature seed;
  seed.Add(settings.name);
  setup.seed = seed.Short();
  return setup;
}

HttpLimits OperatorLimits(const InstanceSettings& settings) {
  HttpLimits limits;
  limits.body_bytes = kOperatorBodyBytes;
  limits.connections = kOperatorConnections;
  limits.total_bytes = TotalBytes(settings, 0) + kOperatorBodyBytes / 2;
  limits.socket_bytes = kSocketBytes;
  limits.backlog = kOperatorBacklog;
  return limits;
}

}  // namespace

struct Instance::Components {
  explicit Components(InstanceSettings given)
      : settings(std::move(given)),
        incarnation(static_cast<std::uint64_t>(ToMillis(clock.Now()))) {}

  asio::awaitable<void> Drain();
  asio::awaitable<void> ExecuteAction(DrainAction action, DrainStatus& facts);
  DrainTiming ReadDrainTimes() const;
  InstanceEntry SelfEntry(const BoundAddresses& bound) const;

  InstanceSettings settings;
  MonotonicClock clock;
  std::uint64_t incarnation;
  RunState run_state;
  FleetViewHolder view;
  Metrics metrics;
  EventLog events{clock, kEventLogCapacity};
  Duty caller_duty{"callers", kTaskQueueCapacity};
  Duty target_duty{"targets", kTaskQueueCapacity};
  Duty platform_duty{"platform", kTaskQueueCapacity};
  Duty recorder_duty{"recorder", kTaskQueueCapacity};
  Duty operator_duty{"operators", kTaskQueueCapacity};
  DecisionThread decisions{clock, settings.name, incarnation,
                           RouterSetupFor(settings)};
  TargetClient relay{target_duty, clock};
  IntentStore intents{platform_duty, clock, settings.platform, view};
  RefusalLog refusals{recorder_duty, clock, settings.platform, view,
                      RecordOwner{settings.name, incarnation}};
  FleetWatcher watcher{
      platform_duty,
      clock,
      settings.platform,
      view,
      run_state,
      events,
      [this](FleetConfigPtr config) {
        metrics.SetConfigVersion(static_cast<double>(config->version));
        return decisions.OnConfig(std::move(config));
      }};
  PeerService peers{platform_duty,
                    clock,
                    settings.name,
                    incarnation,
                    view,
                    run_state,
                    events,
                    [this](std::uint64_t version, std::string document) {
                      watcher.Apply({version, "relayed", std::move(document)});
                    }};
  BudgetAgent budget_agent{platform_duty, clock, settings, view,
                           run_state,     peers, decisions};
  TargetProbe probe{target_duty, clock, relay};
  CrashGuard crashes{platform_duty, clock, settings.platform,
                     settings.name, view,  decisions,
                     peers,         probe};
  DemandTracker demand;
  PlacementAgent placement{
      settings.name, incarnation, clock,  settings.platform,
      view,          run_state,   demand, events};
  InstanceContext context{settings, clock,     run_state, view,    metrics,
                          events,   decisions, relay,     intents, refusals,
                          crashes,  demand,    placement};
  ReportPoller poller{target_duty, clock, relay, view, decisions};
  CallerService callers{context, settings.name + "-" + RandomHex(4) + "-"};
  std::function<void()> begin_drain;
  OperatorService operators{context, operator_duty, [this] { begin_drain(); }};
  HttpServer caller_server{
      caller_duty.context(), CallerLimits(settings),
      [this](HttpExchange& exchange) { return callers.Handle(exchange); }};
  HttpServer operator_server{
      operator_duty.context(), OperatorLimits(settings),
      [this](HttpExchange& exchange) { return operators.Handle(exchange); }};
  std::promise<void> drained;
};

Instance::Instance(InstanceSettings settings)
    : components_(std::make_unique<Components>(std::move(settings))) {
  components_->begin_drain = [this] { BeginDrain(); };
}

Instance::~Instance() {
  components_->peers.Stop();
  for (Duty* duty : {&components_->caller_duty, &components_->operator_duty,
                     &components_->target_duty, &components_->platform_duty,
                     &components_->recorder_duty}) {
    duty->Stop();
  }
  components_->placement.Stop();
  components_->decisions.Stop();
  // Suspended coroutines of one thread hold timers and sockets of other
  // threads, so all of them are destroyed before any event loop.
  for (Duty* duty : {&components_->caller_duty, &components_->operator_duty,
                     &components_->target_duty, &components_->platform_duty,
                     &components_->recorder_duty}) {
    duty->EndCoroutines();
  }
  components_->placement.EndCoroutines();
  components_->decisions.EndCoroutines();
}

InstanceEntry Instance::Components::SelfEntry(
    const BoundAddresses& bound) const {
  return {settings.name,           bound.entry, bound.operators,     bound.peer,
          settings.failure_domain, incarnation, InstanceState::kLive};
}

Result<BoundAddresses> Instance::Start() {
  Components& components = *components_;
  BOOST_OUTCOME_TRY(const auto entry,
                    components.caller_server.Listen(components.settings.entry));
  BOOST_OUTCOME_TRY(const auto operators, components.operator_server.Listen(
                                              components.settings.operators));
  BOOST_OUTCOME_TRY(const auto peer,
                    components.peers.Start(ToText(components.settings.peer)));
  BoundAddresses bound{ToText(entry), ToText(operators), peer};
  components.watcher.Start(components.SelfEntry(bound));
  components.refusals.Start();
  components.budget_agent.Start();
  components.crashes.Start();
  components.poller.Start();
  components.intents.Start();
  components.placement.Start();
  components.decisions.Start();
  for (Duty* duty : {&components.caller_duty, &components.target_duty,
                     &components.platform_duty, &components.recorder_duty,
                     &components.operator_duty}) {
    duty->Start();
  }
  components.events.Add(EventKind::kStarted, {}, {}, {}, JACKDAW_VERSION);
  return bound;
}

void Instance::BeginDrain() {
  if (!components_->run_state.leaving.exchange(true)) {
    components_->events.Add(EventKind::kDrainStarted, {}, {}, {}, {});
    Log(LogLevel::kInfo, "leaving");
    asio::co_spawn(components_->platform_duty.context(), components_->Drain(),
                   asio::detached);
  }
}

DrainTiming Instance::Components::ReadDrainTimes() const {
  const FleetViewPtr current_view = view.Get();
  const Instant now = clock.Now();
  const auto setting = [&](std::string_view name) {
    return std::chrono::milliseconds(
        current_view->config
            ? SettingFor(*current_view->config, name, "fleet", ToMillis(now))
            : FindSetting(name)->fallback);
  };
  DrainTiming times;
  times.list_lag = setting("list_lag_ms");
  times.entry_keep_time = setting("entry_keep_ms");
  times.deadline = now + setting("drain_deadline_ms");
  return times;
}

// Executes the actions of a graceful shutdown until the plan is done.
asio::awaitable<void> Instance::Components::Drain() {
  asio::steady_timer timer(platform_duty.context());
  DrainPlan plan;
  plan.Begin(clock.Now(), ReadDrainTimes());
  DrainStatus facts;
  while (plan.step() != DrainStep::kDone) {
    facts.in_flight = caller_server.active();
    facts.entry_cached_until = Instant(
        std::chrono::milliseconds(run_state.entry_cached_until_ms.load()));
    for (const DrainAction action : plan.Advance(clock.Now(), facts)) {
      co_await ExecuteAction(action, facts);
    }
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  events.Add(EventKind::kDrainFinished, {}, {}, {}, {});
  Log(LogLevel::kInfo, "left");
  drained.set_value();
}

asio::awaitable<void> Instance::Components::ExecuteAction(DrainAction action,
                                                          DrainStatus& facts) {
  switch (action) {
    case DrainAction::kAnnounce: {
      Result<bool> announced = co_await watcher.AnnounceNow();
      facts.announced = announced && announced.value();
      break;
    }
    case DrainAction::kHandOver:
      co_await budget_agent.HandOver();
      break;
    case DrainAction::kRefuseNew:
      run_state.refuse_new = true;
      caller_duty.TryPost([this] { caller_server.CloseIdle(); });
      break;
    case DrainAction::kEndRequests:
      run_state.end_requests = true;
      break;
    case DrainAction::kFlush: {
      Result<bool> stored = co_await AskAsync<bool>(
          recorder_duty, [this] { return refusals.Flush(); });
      facts.flushed = stored && stored.value() && intents.open_calls() == 0;
      break;
    }
    case DrainAction::kFinish:
      break;
  }
}

void Instance::WaitDrained() {
  components_->drained.get_future().wait();
}

}  // namespace jackdaw
