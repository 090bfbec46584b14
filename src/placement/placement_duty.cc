#include "placement/placement_duty.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/invariant.h"
#include "core/log.h"
#include "lease/assignment.h"
#include "routing/target_report.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kRingTasks = 256;
// Time between two rounds.
constexpr auto kRoundTime = std::chrono::milliseconds(500);
// Time for one answer of the platform, and of an engine.
constexpr Micros kPlatformTime = 2s;
constexpr Micros kEngineTime = 1s;
// An instance that published nothing for so long is taken for gone.
constexpr Micros kPeerTime = 15s;
// An engine whose state could not be read for so long is not usable.
constexpr Micros kReportTime = 3s;

}  // namespace

PlacementDuty::PlacementDuty(std::string self,
                             std::uint64_t incarnation,
                             const MonotonicClock& clock,
                             const Endpoint& platform,
                             const FleetViewHolder& view,
                             const RunState& run_state,
                             DemandBoard& board,
                             EventLog& events)
    : self_(std::move(self)),
      incarnation_(incarnation),
      clock_(clock),
      view_(view),
      run_state_(run_state),
      board_(board),
      events_(events),
      duty_("placement", kRingTasks),
      platform_(duty_.context(), clock, platform),
      engines_(duty_.context(), clock, 1) {}

void PlacementDuty::Start() {
  started_at_ = clock_.Now();
  last_taken_at_ = started_at_;
  asio::co_spawn(duty_.context(), Run(), asio::detached);
  duty_.Start();
}

std::int64_t PlacementDuty::Setting(std::string_view name) const {
  return SettingFor(*config_, name, "fleet", ToMillis(clock_.Now()));
}

std::int64_t PlacementDuty::AdapterMemory(const OwnTarget& own) const {
  return own.controller.target().capacity_mb *
         Setting("adapter_memory_percent") / 100;
}

bool PlacementDuty::IsUsable(const OwnTarget& own) const {
  return !own.leaving && own.controller.IsReady(clock_.Now()) &&
         clock_.Now() - own.last_report_at < kReportTime;
}

asio::awaitable<void> PlacementDuty::Run() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    try {
      co_await Tick();
    } catch (const InvariantBreach& breach) {
      events_.Add(EventKind::kInvariantBreach, {}, {}, {}, breach.what());
      Log(LogLevel::kError, "placement round ended early",
          {{"reason", breach.what()}});
    }
    timer.expires_after(kRoundTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// One round: what is read comes before what is planned, and what is recorded
// before what is sent.
asio::awaitable<void> PlacementDuty::Tick() {
  const FleetViewPtr view = view_.Get();
  if (!view->config) {
    co_return;
  }
  FollowConfig(*view);
  if (!co_await ReadTable()) {
    co_return;
  }
  FollowAssignment(*view);
  for (auto& [name, own] : own_) {
    if (!own.reading) {
      own.reading = true;
      asio::co_spawn(duty_.context(), ReadEngine(name), asio::detached);
    }
  }
  TakeDemand();
  Survey();
  co_await BindCopies();
  co_await RollOut();
  co_await CarryOut();
  LoadAdapters();
  co_await ReturnSlots();
  for (auto& [name, own] : own_) {
    if (!own.writing) {
      own.writing = true;
      asio::co_spawn(duty_.context(), WriteLease(name), asio::detached);
    }
  }
  co_await Publish();
  SetExpected();
  PublishStatus();
}

// A target whose memory or kind changed gets a new controller once nothing of
// the old one is under way.
void PlacementDuty::FollowConfig(const FleetView& view) {
  config_ = view.config;
  const OrderTiming timing{
      std::chrono::milliseconds(Setting("lease_term_ms")),
      std::chrono::milliseconds(Setting("order_flight_ms")),
      std::chrono::milliseconds(Setting("order_pause_ms"))};
  const std::string holder = self_ + "/" + std::to_string(incarnation_);
  const auto names = EngineNames(*config_);
  for (const auto& target : config_->targets) {
    const auto endpoint = ParseEndpoint(target.address);
    if (!endpoint ||
        !std::binary_search(names.begin(), names.end(), target.name)) {
      continue;
    }
    const std::int64_t reserve =
        target.memory_mb * Setting("kv_reserve_percent") / 100;
    const ControlledTarget controlled{target.name, target.memory_mb, reserve,
                                      target.checks_fence};
    const auto found = own_.find(target.name);
    if (found != own_.end()) {
      found->second.endpoint = endpoint.value();
      const bool idle = !found->second.reading && !found->second.writing &&
                        found->second.controller.pending() == 0;
      if (found->second.controller.target() == controlled || !idle) {
        continue;
      }
      own_.erase(found);
    }
    own_.emplace(target.name,
                 OwnTarget{TargetController(controlled, holder, timing),
                           endpoint.value()});
  }
}

// Every instance computes the same assignment from the platform's list and
// from who still publishes.
void PlacementDuty::FollowAssignment(const FleetView& view) {
  const Instant now = clock_.Now();
  std::vector<std::string> live;
  for (const auto& entry : view.instances) {
    const auto peer = peers_.find(entry.name);
    const bool heard = peer != peers_.end()
                           ? now - peer->second.changed_at < kPeerTime
                           : now - started_at_ < kPeerTime;
    if (entry.state == InstanceState::kLive && (heard || entry.name == self_)) {
      live.push_back(entry.name);
    }
  }
  std::sort(live.begin(), live.end());
  const auto names = EngineNames(*config_);
  const auto owners = AssignTargets(names, live);
  for (auto& [name, own] : own_) {
    own.wanted = false;
  }
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto own = own_.find(names[i]);
    if (own != own_.end() && owners[i] >= 0) {
      own->second.wanted = live[static_cast<std::size_t>(owners[i])] == self_ &&
                           !run_state_.leaving;
    }
  }
}

asio::awaitable<bool> PlacementDuty::ReadTable() {
  ReadQuery query;
  std::vector<std::string> wanted;
  for (const auto& [name, own] : own_) {
    const auto& lease = own.controller.lease();
    if (own.wanted || lease.HeldAt(clock_.Now()) ||
        lease.has_unsettled_write()) {
      wanted.push_back(name);
      query.keys.push_back(LeaseKey(name));
    }
  }
  for (const auto& model : config_->models) {
    query.keys.push_back(CopyKey(model.name));
  }
  query.keys.emplace_back(kLoadQueueRow);
  query.prefixes.emplace_back(kPlacementPrefix);
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), clock_.Now() + kPlatformTime);
  if (!rows) {
    co_return false;
  }
  std::vector<std::string> leases;
  for (const Row& row : rows.value()) {
    TakeRow(row);
    leases.push_back(row.key);
  }
  for (const auto& name : wanted) {
    if (std::find(leases.begin(), leases.end(), LeaseKey(name)) ==
        leases.end()) {
      own_.find(name)->second.controller.OnRow(clock_.Now(), 0, {});
    }
  }
  co_return true;
}

void PlacementDuty::TakeRow(const Row& row) {
  if (row.key == kLoadQueueRow) {
    if (auto queue = LoadQueue::Decode(row.value)) {
      queue_ = std::move(queue.value());
      queue_version_ = row.version;
    }
  } else if (row.key.starts_with(kPlacementPrefix)) {
    auto state = DecodePlacementState(row.value);
    Peer& peer = peers_[row.key.substr(kPlacementPrefix.size())];
    if (state && row.version != peer.row_version) {
      peer = {std::move(state.value()), row.version, clock_.Now()};
    }
  } else if (row.key.starts_with(CopyKey(""))) {
    if (auto set = DecodeCopySet(row)) {
      survey_.copies[set.value().model] = std::move(set.value());
    }
  } else {
    const auto lease = DecodeLease(row.value);
    const auto own = own_.find(row.key.substr(LeaseKey("").size()));
    if (lease && own != own_.end()) {
      own->second.controller.OnRow(clock_.Now(), row.version, lease.value());
    }
  }
}

asio::awaitable<void> PlacementDuty::ReadEngine(std::string name) {
  const auto found = own_.find(name);
  OwnTarget& own = found->second;
  const Instant asked_at = clock_.Now();
  if (own.wanted || own.controller.lease().HeldAt(asked_at)) {
    HttpRequest request{"GET", "/engine/report", {}, {}};
    Result<HttpResponse> answer = co_await engines_.Fetch(
        own.endpoint, std::move(request), asked_at + kEngineTime);
    if (answer) {
      if (const auto report = DecodeReport(answer.value().body)) {
        own.leaving = report.value().leaving;
        own.last_report_at = asked_at;
        own.controller.OnReport(asked_at, report.value().items);
      }
    }
  }
  own.reading = false;
}

// Takes over, renews or records; then sends what is recorded.
asio::awaitable<void> PlacementDuty::WriteLease(std::string name) {
  OwnTarget& own = own_.find(name)->second;
  TargetController& controller = own.controller;
  const Instant asked_at = clock_.Now();
  const std::uint64_t fence = controller.lease().fence();
  auto write = controller.NextWrite(asked_at, own.wanted);
  if (write) {
    Result<jackdaw::Commit> commit = co_await platform_.Transact(
        std::move(*write), asked_at + kPlatformTime);
    if (!commit) {
      controller.OnUnknown(asked_at);
    } else if (!commit.value().committed) {
      controller.OnConflict();
      events_.Add(EventKind::kLeaseLost, {}, {}, name, {});
    } else {
      controller.OnCommitted(clock_.Now(), asked_at, commit.value().version);
    }
    if (controller.lease().fence() != fence) {
      events_.Add(EventKind::kLeaseTaken, {}, {}, name,
                  "fence " + std::to_string(controller.lease().fence()));
    }
  }
  while (auto order = controller.NextOrder(clock_.Now())) {
    asio::co_spawn(duty_.context(), SendOrder(name, std::move(*order)),
                   asio::detached);
  }
  own.writing = false;
}

asio::awaitable<void> PlacementDuty::SendOrder(std::string name, Order order) {
  OwnTarget& own = own_.find(name)->second;
  const std::string what =
      (order.op == OrderOp::kLoad ? "load " : "unload ") + ToText(order.item);
  events_.Add(EventKind::kOrderSent, order.id, {}, name, what);
  HttpRequest request{"POST", "/engine/orders", {}, EncodeOrder(order)};
  const Instant deadline =
      std::min(clock_.Now() + kEngineTime, own.controller.lease().deadline());
  Result<HttpResponse> answer =
      co_await engines_.Fetch(own.endpoint, std::move(request), deadline);
  auto outcome = OrderOutcome::kUnknown;
  if (answer) {
    outcome = answer.value().status == 200 ? OrderOutcome::kAccepted
                                           : OrderOutcome::kRefused;
  }
  own.controller.OnOrderEnded(clock_.Now(), order.id, outcome);
  if (outcome == OrderOutcome::kAccepted) {
    events_.Add(EventKind::kOrderConfirmed, order.id, {}, name, what);
  }
}

asio::awaitable<bool> PlacementDuty::Commit(Transaction transaction) {
  Result<jackdaw::Commit> commit = co_await platform_.Transact(
      std::move(transaction), clock_.Now() + kPlatformTime);
  co_return commit&& commit.value().committed;
}

asio::awaitable<void> PlacementDuty::Publish() {
  PlacementState state;
  state.at = clock_.Now();
  state.demand = own_rate_;
  state.waiting = board_.Waiting();
  for (const auto& [name, own] : own_) {
    if (own.controller.IsReady(state.at)) {
      state.targets.push_back(StateOf(
          name, IsUsable(own), own.controller.ledger(), AdapterMemory(own)));
    }
  }
  Transaction transaction;
  transaction.writes.push_back(
      {std::string(kPlacementPrefix) + self_, EncodePlacementState(state)});
  static_cast<void>(co_await Commit(std::move(transaction)));
}

}  // namespace jackdaw
