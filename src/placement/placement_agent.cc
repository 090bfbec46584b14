#include "placement/placement_agent.h"

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

// Tasks that may wait for the thread.
constexpr std::size_t kTaskRingCapacity = 256;
constexpr auto kRoundPause = std::chrono::milliseconds(500);
// Timeouts of one request to the platform and to an engine.
constexpr Micros kPlatformTimeout = 2s;
constexpr Micros kEngineTimeout = 1s;
// Time after which a peer is considered dead, since it last published its state
// or, if it has not been seen to, since this instance started.
constexpr Micros kPeerDeadAfter = 15s;
// An engine whose state could not be read for this time is not usable.
constexpr Micros kMaxReportAge = 3s;

}  // namespace

PlacementAgent::PlacementAgent(std::string self,
                               std::uint64_t incarnation,
                               const MonotonicClock& clock,
                               const Endpoint& platform,
                               const FleetViewHolder& view,
                               const RunState& run_state,
                               DemandTracker& demand_tracker,
                               EventLog& events)
    : self_(std::move(self)),
      incarnation_(incarnation),
      clock_(clock),
      view_(view),
      run_state_(run_state),
      demand_tracker_(demand_tracker),
      events_(events),
      thread_("placement", kTaskRingCapacity),
      platform_(thread_.context(), clock, platform),
      engines_(thread_.context(), clock, 1) {}

void PlacementAgent::Start() {
  started_at_ = clock_.Now();
  last_demand_at_ = started_at_;
  asio::co_spawn(thread_.context(), Run(), asio::detached);
  thread_.Start();
}

std::int64_t PlacementAgent::Setting(std::string_view name) const {
  return SettingFor(*config_, name, "fleet", ToMillis(clock_.Now()));
}

std::int64_t PlacementAgent::AdapterMemory(const ManagedTarget& managed) const {
  return managed.controller.target().capacity_mb *
         Setting("adapter_memory_percent") / 100;
}

bool PlacementAgent::IsUsable(const ManagedTarget& managed) const {
  return !managed.draining && managed.controller.IsReady(clock_.Now()) &&
         clock_.Now() - managed.last_report_at < kMaxReportAge;
}

asio::awaitable<void> PlacementAgent::Run() {
  asio::steady_timer timer(thread_.context());
  for (;;) {
    try {
      co_await RunRound();
    } catch (const InvariantBreach& breach) {
      events_.Add(EventKind::kInvariantBreach, {}, {}, {}, breach.what());
      Log(LogLevel::kError, "placement round aborted: invariant violated",
          {{"reason", breach.what()}});
    }
    timer.expires_after(kRoundPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Runs one placement round. State is read before planning, and orders are
// recorded before they are sent.
asio::awaitable<void> PlacementAgent::RunRound() {
  const FleetViewPtr view = view_.Get();
  if (!view->config) {
    co_return;
  }
  ApplyConfig(*view);
  if (!co_await ReadTable()) {
    co_return;
  }
  ApplyAssignment(*view);
  for (auto& [name, managed] : managed_) {
    if (!managed.read_in_flight) {
      managed.read_in_flight = true;
      asio::co_spawn(thread_.context(), ReadEngine(name), asio::detached);
    }
  }
  UpdateDemand();
  CollectFleetState();
  co_await RegisterCopies();
  co_await RollOutVersions();
  co_await ExecutePlan();
  LoadAdapters();
  co_await UpdateSlots();
  for (auto& [name, managed] : managed_) {
    if (!managed.write_in_flight) {
      managed.write_in_flight = true;
      asio::co_spawn(thread_.context(), WriteLeaseAndSendOrders(name),
                     asio::detached);
    }
  }
  co_await Publish();
  SetExpectedReady();
  PublishStatus();
}

// A target whose memory or fence checking changed gets a new controller once
// the old one has no read, write or order in progress. Changed timing settings
// apply to new controllers only.
void PlacementAgent::ApplyConfig(const FleetView& view) {
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
    const auto found = managed_.find(target.name);
    if (found != managed_.end()) {
      found->second.endpoint = endpoint.value();
      const bool idle = !found->second.read_in_flight &&
                        !found->second.write_in_flight &&
                        found->second.controller.pending() == 0;
      if (found->second.controller.target() == controlled || !idle) {
        continue;
      }
      managed_.erase(found);
    }
    managed_.emplace(target.name,
                     ManagedTarget{TargetController(controlled, holder, timing),
                                   endpoint.value()});
  }
}

// Instances with the same view of which peers are listed and alive compute the
// same assignment. While views differ, the lease decides.
void PlacementAgent::ApplyAssignment(const FleetView& view) {
  const Instant now = clock_.Now();
  std::vector<std::string> live;
  for (const auto& entry : view.instances) {
    const auto peer = peers_.find(entry.name);
    const bool recently_seen =
        peer != peers_.end() ? now - peer->second.changed_at < kPeerDeadAfter
                             : now - started_at_ < kPeerDeadAfter;
    if (entry.state == InstanceState::kLive &&
        (recently_seen || entry.name == self_)) {
      live.push_back(entry.name);
    }
  }
  std::sort(live.begin(), live.end());
  const auto names = EngineNames(*config_);
  const auto owners = AssignTargets(names, live);
  for (auto& [name, managed] : managed_) {
    managed.assigned = false;
  }
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto managed = managed_.find(names[i]);
    if (managed != managed_.end() && owners[i] >= 0) {
      managed->second.assigned =
          live[static_cast<std::size_t>(owners[i])] == self_ &&
          !run_state_.leaving;
    }
  }
}

asio::awaitable<bool> PlacementAgent::ReadTable() {
  ReadQuery query;
  std::vector<std::string> lease_names;
  for (const auto& [name, managed] : managed_) {
    const auto& lease = managed.controller.lease();
    if (managed.assigned || lease.HeldAt(clock_.Now()) ||
        lease.has_unsettled_write()) {
      lease_names.push_back(name);
      query.keys.push_back(LeaseKey(name));
    }
  }
  for (const auto& model : config_->models) {
    query.keys.push_back(CopyKey(model.name));
  }
  query.keys.emplace_back(kLoadQueueRow);
  query.prefixes.emplace_back(kPlacementKeyPrefix);
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), clock_.Now() + kPlatformTimeout);
  if (!rows) {
    co_return false;
  }
  std::vector<std::string> keys_read;
  for (const Row& row : rows.value()) {
    ApplyRow(row);
    keys_read.push_back(row.key);
  }
  for (const auto& name : lease_names) {
    if (std::find(keys_read.begin(), keys_read.end(), LeaseKey(name)) ==
        keys_read.end()) {
      managed_.find(name)->second.controller.OnRow(clock_.Now(), 0, {});
    }
  }
  co_return true;
}

void PlacementAgent::ApplyRow(const Row& row) {
  if (row.key == kLoadQueueRow) {
    if (auto queue = LoadQueue::Decode(row.value)) {
      load_queue_ = std::move(queue.value());
      load_queue_version_ = row.version;
    }
  } else if (row.key.starts_with(kPlacementKeyPrefix)) {
    auto state = DecodePlacementState(row.value);
    Peer& peer = peers_[row.key.substr(kPlacementKeyPrefix.size())];
    if (state && row.version != peer.row_version) {
      peer = {std::move(state.value()), row.version, clock_.Now()};
    }
  } else if (row.key.starts_with(CopyKey(""))) {
    if (auto set = DecodeCopySet(row)) {
      fleet_.copies[set.value().model] = std::move(set.value());
    }
  } else {
    const auto lease = DecodeLease(row.value);
    const auto managed = managed_.find(row.key.substr(LeaseKey("").size()));
    if (lease && managed != managed_.end()) {
      managed->second.controller.OnRow(clock_.Now(), row.version,
                                       lease.value());
    }
  }
}

asio::awaitable<void> PlacementAgent::ReadEngine(std::string name) {
  const auto found = managed_.find(name);
  ManagedTarget& managed = found->second;
  const Instant requested_at = clock_.Now();
  if (managed.assigned || managed.controller.lease().HeldAt(requested_at)) {
    HttpRequest request{"GET", "/engine/report", {}, {}};
    Result<HttpResponse> response = co_await engines_.Fetch(
        managed.endpoint, std::move(request), requested_at + kEngineTimeout);
    if (response) {
      if (const auto report = DecodeReport(response.value().body)) {
        managed.draining = report.value().leaving;
        managed.last_report_at = requested_at;
        managed.controller.OnReport(requested_at, report.value().items);
      }
    }
  }
  managed.read_in_flight = false;
}

// Takes over or renews the lease or records orders in it, then sends the
// recorded orders.
asio::awaitable<void> PlacementAgent::WriteLeaseAndSendOrders(
    std::string name) {
  ManagedTarget& managed = managed_.find(name)->second;
  TargetController& controller = managed.controller;
  const Instant requested_at = clock_.Now();
  const std::uint64_t fence = controller.lease().fence();
  auto write = controller.NextWrite(requested_at, managed.assigned);
  if (write) {
    Result<jackdaw::Commit> commit = co_await platform_.Transact(
        std::move(*write), requested_at + kPlatformTimeout);
    if (!commit) {
      controller.OnUnknown(requested_at);
    } else if (!commit.value().committed) {
      controller.OnConflict();
      events_.Add(EventKind::kLeaseLost, {}, {}, name, {});
    } else {
      controller.OnCommitted(clock_.Now(), requested_at,
                             commit.value().version);
    }
    if (controller.lease().fence() != fence) {
      events_.Add(EventKind::kLeaseTaken, {}, {}, name,
                  "fence " + std::to_string(controller.lease().fence()));
    }
  }
  while (auto order = controller.NextOrder(clock_.Now())) {
    asio::co_spawn(thread_.context(), SendOrder(name, std::move(*order)),
                   asio::detached);
  }
  managed.write_in_flight = false;
}

asio::awaitable<void> PlacementAgent::SendOrder(std::string name, Order order) {
  ManagedTarget& managed = managed_.find(name)->second;
  const std::string what =
      (order.op == OrderOp::kLoad ? "load " : "unload ") + ToText(order.item);
  events_.Add(EventKind::kOrderSent, order.id, {}, name, what);
  HttpRequest request{"POST", "/engine/orders", {}, EncodeOrder(order)};
  const Instant deadline = std::min(clock_.Now() + kEngineTimeout,
                                    managed.controller.lease().deadline());
  Result<HttpResponse> response =
      co_await engines_.Fetch(managed.endpoint, std::move(request), deadline);
  auto outcome = OrderOutcome::kUnknown;
  if (response) {
    outcome = response.value().status == 200 ? OrderOutcome::kAccepted
                                             : OrderOutcome::kRejected;
  }
  managed.controller.OnOrderEnded(clock_.Now(), order.id, outcome);
  if (outcome == OrderOutcome::kAccepted) {
    events_.Add(EventKind::kOrderConfirmed, order.id, {}, name, what);
  }
}

asio::awaitable<bool> PlacementAgent::Commit(Transaction transaction) {
  Result<jackdaw::Commit> commit = co_await platform_.Transact(
      std::move(transaction), clock_.Now() + kPlatformTimeout);
  co_return commit&& commit.value().committed;
}

asio::awaitable<void> PlacementAgent::Publish() {
  PlacementState state;
  state.at = clock_.Now();
  state.demand = local_demand_;
  state.waiting = demand_tracker_.AwaitedModels();
  for (const auto& [name, managed] : managed_) {
    if (managed.controller.IsReady(state.at)) {
      state.targets.push_back(StateOf(name, IsUsable(managed),
                                      managed.controller.memory(),
                                      AdapterMemory(managed)));
    }
  }
  Transaction transaction;
  transaction.writes.push_back(
      {std::string(kPlacementKeyPrefix) + self_, EncodePlacementState(state)});
  static_cast<void>(co_await Commit(std::move(transaction)));
}

}  // namespace jackdaw
