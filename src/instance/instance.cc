#include "instance/instance.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <optional>

#include "core/digest.h"
#include "core/log.h"
#include "core/signature.h"
#include "entry/caller_service.h"
#include "instance/budget_agent.h"
#include "instance/context.h"
#include "instance/fleet_watcher.h"
#include "membership/freshness_exchange.h"
#include "operator/operator_service.h"
#include "peer/peer_service.h"
#include "record/copy_exchange.h"
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
RouterSetup RoutingOf(const InstanceSettings& settings) {
  RouterSetup setup;
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
  Decisions decisions{clock, settings.name, incarnation, RoutingOf(settings)};
  Relay relay{target_duty, clock};
  IntentStore intents{platform_duty, clock, settings.platform, view};
  RefusalLog refusals{recorder_duty, clock, settings.platform, view,
                      RecordOwner{settings.name, incarnation}};
  ViewFreshness freshness;
  FleetWatcher watcher{
      platform_duty,
      clock,
      settings.platform,
      view,
      run_state,
      events,
      freshness,
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
  FreshnessExchange confirmations{platform_duty, clock, peers, run_state,
                                  freshness};
  CopyExchange copies{recorder_duty, clock, settings, view,
                      run_state,     peers, refusals};
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
  parts.copies.Start();
  parts.crashes.Start();
  parts.confirmations.Start();
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

// Tells the platform, waits out the answers that callers keep, lets every
// request finish, and stores the refusal records.
asio::awaitable<void> Instance::Parts::Drain() {
  asio::steady_timer timer(platform_duty.context());
  static_cast<void>(co_await watcher.AnnounceNow());
  const FleetViewPtr now_view = view.Get();
  const std::int64_t keep_ms =
      now_view->config ? SettingFor(*now_view->config, "entry_keep_ms", "fleet",
                                    ToMillis(clock.Now()))
                       : 0;
  const Instant callers_gone = clock.Now() + std::chrono::milliseconds(keep_ms);
  while (clock.Now() < callers_gone || run_state.in_flight > 0) {
    timer.expires_after(kDrainCheckTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_await budget_agent.HandOver();
  Result<bool> stored = false;
  for (int attempt = 0; attempt < 10; ++attempt) {
    stored = co_await AskAsync<bool>(recorder_duty,
                                     [this] { return refusals.Flush(); });
    if (stored && stored.value()) {
      break;
    }
  }
  events.Add(EventKind::kDrainFinished, {}, {}, {}, {});
  Log(LogLevel::kInfo, "left");
  drained.set_value();
}

void Instance::WaitDrained() {
  parts_->drained.get_future().wait();
}

}  // namespace jackdaw
