#include "instance/instance.h"

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

constexpr std::size_t kRingTasks = 8192;
constexpr std::size_t kEventsKept = 16'384;
// Time between two looks at whether all requests are done.
constexpr auto kDrainCheckTime = std::chrono::milliseconds(50);

HttpLimits CallerLimits(const InstanceSettings& settings) {
  HttpLimits limits;
  limits.body_bytes = static_cast<std::uint64_t>(settings.body_bytes);
  limits.connections = static_cast<std::uint32_t>(settings.connections);
  return limits;
}

// Instances that see the same reports choose differently among targets that
// look alike, each by the seed of its own name.
RouterOptions RoutingOf(const InstanceSettings& settings) {
  RouterOptions setup;
  setup.failure_domain = settings.failure_domain;
  Signature seed;
  seed.Add(settings.name);
  setup.seed = seed.Short();
  return setup;
}

HttpLimits OperatorLimits() {
  HttpLimits limits;
  limits.body_bytes = 64ULL * 1024 * 1024;
  return limits;
}

}  // namespace

struct Instance::Parts {
  explicit Parts(InstanceSettings given)
      : settings(std::move(given)),
        incarnation(static_cast<std::uint64_t>(ToMillis(clock.Now()))) {}

  asio::awaitable<void> Drain();
  asio::awaitable<void> Act(DrainAction action, DrainStatus& facts);
  DrainTiming TimesOfDrain() const;
  InstanceEntry SelfEntry(const BoundAddresses& bound) const;

  InstanceSettings settings;
  MonotonicClock clock;
  std::uint64_t incarnation;
  RunState run_state;
  FleetViewHolder view;
  Metrics metrics;
  EventLog events{clock, kEventsKept};
  Duty caller_duty{"callers", kRingTasks};
  Duty target_duty{"targets", kRingTasks};
  Duty platform_duty{"platform", kRingTasks};
  Duty recorder_duty{"recorder", kRingTasks};
  Duty operator_duty{"operators", kRingTasks};
  DecisionThread decisions{clock, settings.name, incarnation,
                           RoutingOf(settings)};
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
  DemandBoard demand;
  PlacementDuty placement{settings.name, incarnation, clock,  settings.platform,
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
      operator_duty.context(), OperatorLimits(),
      [this](HttpExchange& exchange) { return operators.Handle(exchange); }};
  std::promise<void> drained;
};

Instance::Instance(InstanceSettings settings)
    : parts_(std::make_unique<Parts>(std::move(settings))) {
  parts_->begin_drain = [this] { BeginDrain(); };
}

Instance::~Instance() {
  parts_->peers.Stop();
  for (Duty* duty :
       {&parts_->caller_duty, &parts_->operator_duty, &parts_->target_duty,
        &parts_->platform_duty, &parts_->recorder_duty}) {
    duty->Stop();
  }
  parts_->placement.Stop();
  parts_->decisions.Stop();
  // Suspended coroutines of one thread hold timers and sockets of others, so
  // all are ended before any event loop goes.
  for (Duty* duty :
       {&parts_->caller_duty, &parts_->operator_duty, &parts_->target_duty,
        &parts_->platform_duty, &parts_->recorder_duty}) {
    duty->EndCoroutines();
  }
  parts_->placement.EndCoroutines();
  parts_->decisions.EndCoroutines();
}

InstanceEntry Instance::Parts::SelfEntry(const BoundAddresses& bound) const {
  return {settings.name,           bound.entry, bound.operators,     bound.peer,
          settings.failure_domain, incarnation, InstanceState::kLive};
}

Result<BoundAddresses> Instance::Start() {
  Parts& parts = *parts_;
  BOOST_OUTCOME_TRY(const auto entry,
                    parts.caller_server.Listen(parts.settings.entry));
  BOOST_OUTCOME_TRY(const auto operators,
                    parts.operator_server.Listen(parts.settings.operators));
  BOOST_OUTCOME_TRY(const auto peer,
                    parts.peers.Start(ToText(parts.settings.peer)));
  BoundAddresses bound{ToText(entry), ToText(operators), peer};
  parts.watcher.Start(parts.SelfEntry(bound));
  parts.refusals.Start();
  parts.budget_agent.Start();
  parts.crashes.Start();
  parts.poller.Start();
  parts.intents.Start();
  parts.placement.Start();
  parts.decisions.Start();
  for (Duty* duty :
       {&parts.caller_duty, &parts.target_duty, &parts.platform_duty,
        &parts.recorder_duty, &parts.operator_duty}) {
    duty->Start();
  }
  parts.events.Add(EventKind::kStarted, {}, {}, {}, JACKDAW_VERSION);
  return bound;
}

void Instance::BeginDrain() {
  if (!parts_->run_state.leaving.exchange(true)) {
    parts_->events.Add(EventKind::kDrainStarted, {}, {}, {}, {});
    Log(LogLevel::kInfo, "leaving");
    asio::co_spawn(parts_->platform_duty.context(), parts_->Drain(),
                   asio::detached);
  }
}

DrainTiming Instance::Parts::TimesOfDrain() const {
  const FleetViewPtr now_view = view.Get();
  const Instant now = clock.Now();
  const auto setting = [&](std::string_view name) {
    return std::chrono::milliseconds(
        now_view->config
            ? SettingFor(*now_view->config, name, "fleet", ToMillis(now))
            : FindSetting(name)->fallback);
  };
  DrainTiming times;
  times.list_lag = setting("list_lag_ms");
  times.entry_keep_time = setting("entry_keep_ms");
  times.deadline = now + setting("drain_deadline_ms");
  return times;
}

// Carries out the plan of a graceful shutdown, step by step.
asio::awaitable<void> Instance::Parts::Drain() {
  asio::steady_timer timer(platform_duty.context());
  DrainPlan plan;
  plan.Begin(clock.Now(), TimesOfDrain());
  DrainStatus facts;
  while (plan.step() != DrainStep::kDone) {
    facts.in_flight = caller_server.active();
    facts.entry_cached_until = Instant(
        std::chrono::milliseconds(run_state.entry_kept_until_ms.load()));
    for (const DrainAction action : plan.Advance(clock.Now(), facts)) {
      co_await Act(action, facts);
    }
    timer.expires_after(kDrainCheckTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
  events.Add(EventKind::kDrainFinished, {}, {}, {}, {});
  Log(LogLevel::kInfo, "left");
  drained.set_value();
}

asio::awaitable<void> Instance::Parts::Act(DrainAction action,
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
      run_state.refusing = true;
      caller_duty.TryPost([this] { caller_server.CloseIdle(); });
      break;
    case DrainAction::kEndRequests:
      run_state.must_end = true;
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
  parts_->drained.get_future().wait();
}

}  // namespace jackdaw
