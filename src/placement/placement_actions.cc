#include <algorithm>

#include "placement/placement_agent.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Shortest interval over which a demand rate is computed.
constexpr Micros kMinRateInterval = 1s;
// Age after which the published state of an instance is ignored.
constexpr Micros kStateLifetime = 60s;
// A ticket of the load queue is renewed when it expires within this time.
constexpr Micros kTicketRenewMargin = 5s;

Artifact ModelItem(std::string_view name, std::int64_t version) {
  return {ArtifactKind::kModel, std::string(name), version};
}

}  // namespace

CopySet PlacementAgent::CopiesFor(std::string_view model) const {
  const auto found = fleet_.copies.find(model);
  return found != fleet_.copies.end() ? found->second
                                      : CopySet{std::string(model), 0, {}};
}

void PlacementAgent::UpdateDemand() {
  const Instant now = clock_.Now();
  if (now - last_demand_at_ < kMinRateInterval) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - last_demand_at_).count();
  last_demand_at_ = now;
  local_demand_.clear();
  for (const auto& [model, tokens] : demand_tracker_.TakeTokens()) {
    local_demand_[model] =
        static_cast<std::int64_t>(static_cast<double>(tokens) / seconds);
  }
  for (const auto& model : config_->models) {
    std::int64_t total = 0;
    if (const auto local = local_demand_.find(model.name);
        local != local_demand_.end()) {
      total += local->second;
    }
    for (const auto& [name, peer] : peers_) {
      const auto found = peer.state.demand.find(model.name);
      if (name != self_ && found != peer.state.demand.end() &&
          now - peer.changed_at < kStateLifetime) {
        total += found->second;
      }
    }
    demand_estimator_.OnRate(now, model.name, static_cast<double>(total));
  }
}

// For targets whose lease this instance holds, its own accounting takes
// precedence over published state; newer published state replaces older.
void PlacementAgent::CollectFleetState() {
  const Instant now = clock_.Now();
  fleet_.targets.clear();
  fleet_.waiting = demand_tracker_.AwaitedModels();
  std::map<std::string, Instant, std::less<>> newest;
  for (const auto& [name, peer] : peers_) {
    if (name == self_ || now - peer.changed_at > kStateLifetime) {
      continue;
    }
    fleet_.waiting.insert(fleet_.waiting.end(), peer.state.waiting.begin(),
                          peer.state.waiting.end());
    for (const auto& target : peer.state.targets) {
      Instant& at = newest[target.name];
      if (peer.changed_at > at) {
        at = peer.changed_at;
        fleet_.targets[target.name] = target;
      }
    }
  }
  for (const auto& [name, managed] : managed_) {
    if (managed.controller.IsReady(now)) {
      fleet_.targets[name] =
          StateOf(name, IsUsable(managed), managed.controller.memory(),
                  AdapterMemory(managed));
    }
  }
  load_queue_.Expire(now);
  for (const auto& ticket : load_queue_.tickets()) {
    const auto found = fleet_.targets.find(ticket.target);
    const auto managed = managed_.find(ticket.target);
    const bool assigned_here =
        managed != managed_.end() && managed->second.assigned;
    if (found != fleet_.targets.end() && !assigned_here) {
      // A ticket holds no version; only the name matters for incoming models.
      found->second.incoming.push_back(ModelItem(ticket.model, 1));
    }
  }
  planner_input_ =
      BuildPlannerInput(*config_, fleet_, demand_estimator_, ToMillis(now));
}

// Adds this instance's ready copies to the copy sets, so that peers may unload
// their own copies while relying on these.
asio::awaitable<void> PlacementAgent::RegisterCopies() {
  for (auto& [name, managed] : managed_) {
    if (!IsUsable(managed)) {
      continue;
    }
    for (const auto& item : fleet_.targets[name].ready) {
      const CopySet set = CopiesFor(item.name);
      if (!Contains(set, name)) {
        static_cast<void>(co_await Commit(AddToCopySet(set, name)));
      }
    }
  }
}

// Removes the target from the copy set if it is in it, then orders the unload.
// Does nothing when no other usable target would keep the model or the write
// fails.
asio::awaitable<void> PlacementAgent::Evict(ManagedTarget& managed,
                                            Artifact item) {
  const std::string name = managed.controller.target().name;
  const CopySet set = CopiesFor(item.name);
  if (Contains(set, name)) {
    const auto is_usable = [this](std::string_view target) {
      const auto found = fleet_.targets.find(target);
      return found != fleet_.targets.end() && found->second.usable;
    };
    if (!CanRemove(set, name, is_usable)) {
      co_return;
    }
    if (!co_await Commit(RemoveFromCopySet(set, name))) {
      co_return;
    }
  }
  managed.controller.Unload(clock_.Now(), item);
}

// Replaces old versions of models. The new version is loaded beside the old one
// where it fits; otherwise the old one is first evicted, provided that another
// copy serves the model.
asio::awaitable<void> PlacementAgent::RollOutVersions() {
  for (auto& [name, managed] : managed_) {
    if (!IsUsable(managed)) {
      continue;
    }
    const std::vector<Artifact> ready = fleet_.targets[name].ready;
    for (const auto& item : ready) {
      const auto model =
          std::find_if(config_->models.begin(), config_->models.end(),
                       [&](const Model& one) { return one.name == item.name; });
      if (model == config_->models.end() || item.version >= model->version) {
        continue;
      }
      const Artifact next = ModelItem(model->name, model->version);
      if (managed.controller.memory().IsReady(next)) {
        // The new version keeps the target's commitment in the copy set.
        managed.controller.Unload(clock_.Now(), item);
      } else if (managed.controller.memory().CanLoad(next, model->memory_mb)) {
        LoadTicket ticket{name, model->name, LoadPriority::kExtraCopy};
        if (co_await RequestSlot(ticket)) {
          managed.controller.Load(clock_.Now(), next, model->memory_mb);
        }
      } else if (!managed.controller.memory().allocations().contains(next)) {
        co_await Evict(managed, item);
      }
    }
  }
}

asio::awaitable<bool> PlacementAgent::RequestSlot(const LoadTicket& ticket) {
  LoadQueue next = load_queue_;
  const bool started = next.Ask(
      clock_.Now(), ticket, static_cast<int>(Setting("weight_store_slots")),
      static_cast<int>(Setting("weight_store_loads_per_s")));
  Transaction transaction;
  transaction.checks.push_back(
      {std::string(kLoadQueueRow), load_queue_version_});
  transaction.writes.push_back({std::string(kLoadQueueRow), next.Encode()});
  Result<jackdaw::Commit> commit =
      co_await platform_.Transact(std::move(transaction), clock_.Now() + 2s);
  if (!commit || !commit.value().committed) {
    co_return false;
  }
  load_queue_ = std::move(next);
  load_queue_version_ = commit.value().version;
  co_return started;
}

asio::awaitable<void> PlacementAgent::StartLoad(ManagedTarget& managed,
                                                const PlacementAction& move) {
  const auto& model = config_->models[static_cast<std::size_t>(move.model)];
  const Artifact item = ModelItem(model.name, model.version);
  if (!managed.controller.memory().CanLoad(item, model.memory_mb)) {
    co_return;
  }
  LoadTicket ticket{managed.controller.target().name, model.name};
  if (move.reason == PlacementReason::kNoCopy) {
    const bool waiting =
        planner_input_.models[static_cast<std::size_t>(move.model)].waiting;
    ticket.priority =
        waiting ? LoadPriority::kNoCopyCallersWait : LoadPriority::kNoCopy;
  }
  if (co_await RequestSlot(ticket)) {
    managed.controller.Load(clock_.Now(), item, model.memory_mb);
  }
}

// Plans for the targets of this instance and executes the plan as far as the
// slots of the weight store and the memory actually free allow.
asio::awaitable<void> PlacementAgent::ExecutePlan() {
  std::vector<int> plannable;
  for (std::size_t t = 0; t < planner_input_.targets.size(); ++t) {
    const auto managed = managed_.find(planner_input_.targets[t].name);
    if (managed != managed_.end() && managed->second.assigned &&
        IsUsable(managed->second)) {
      plannable.push_back(static_cast<int>(t));
    }
  }
  actions_ = planner_.Plan(planner_input_, plannable,
                           static_cast<int>(Setting("weight_store_slots")));
  const std::vector<PlacementAction> actions = actions_;
  for (const PlacementAction& move : actions) {
    ManagedTarget& managed =
        managed_
            .find(planner_input_.targets[static_cast<std::size_t>(move.target)]
                      .name)
            ->second;
    if (move.load) {
      co_await StartLoad(managed, move);
      continue;
    }
    const std::vector<Artifact> ready =
        fleet_.targets[managed.controller.target().name].ready;
    for (const auto& item : ready) {
      if (item.name ==
          planner_input_.models[static_cast<std::size_t>(move.model)].name) {
        co_await Evict(managed, item);
      }
    }
  }
}

// Releases the slots of loads that have ended and renews those in progress.
asio::awaitable<void> PlacementAgent::UpdateSlots() {
  LoadQueue next = load_queue_;
  bool changed = false;
  const std::vector<LoadTicket> tickets = load_queue_.tickets();
  for (const auto& ticket : tickets) {
    const auto managed = managed_.find(ticket.target);
    if (managed == managed_.end() ||
        !managed->second.controller.IsReady(clock_.Now())) {
      continue;
    }
    bool loading = false;
    for (const auto& [item, allocation] :
         managed->second.controller.memory().allocations()) {
      loading = loading || (item.name == ticket.model &&
                            allocation.state == AllocationState::kLoading);
    }
    const bool started = ticket.started_at != Instant{};
    if (started && !loading) {
      changed = next.Remove(ticket.target, ticket.model) || changed;
    } else if (started &&
               ticket.expires_at - clock_.Now() < kTicketRenewMargin) {
      // The limits do not matter: the load has started and is only renewed.
      next.Ask(clock_.Now(), ticket, 1, 1);
      changed = true;
    }
  }
  if (!changed) {
    co_return;
  }
  Transaction transaction;
  transaction.checks.push_back(
      {std::string(kLoadQueueRow), load_queue_version_});
  transaction.writes.push_back({std::string(kLoadQueueRow), next.Encode()});
  static_cast<void>(co_await Commit(std::move(transaction)));
}

// Loads the adapters of ready models within the memory reserved for adapters
// and this instance's share of the adapter loads that may be in flight.
void PlacementAgent::LoadAdapters() {
  const auto instances = std::max<std::size_t>(1, peers_.size());
  auto loads_left = std::max<std::int64_t>(
      1, Setting("adapter_loads") / static_cast<std::int64_t>(instances));
  for (auto& [name, managed] : managed_) {
    std::int64_t available_mb = AdapterMemory(managed);
    for (const auto& [item, allocation] :
         managed.controller.memory().allocations()) {
      if (item.kind == ArtifactKind::kAdapter) {
        available_mb -= allocation.memory_mb;
        loads_left -= allocation.state == AllocationState::kLoading ? 1 : 0;
      }
    }
    if (!IsUsable(managed)) {
      continue;
    }
    for (const auto& adapter : config_->adapters) {
      const Artifact item{ArtifactKind::kAdapter, adapter.name, 1};
      const auto& ready = fleet_.targets[name].ready;
      const bool base_ready = std::any_of(
          ready.begin(), ready.end(),
          [&](const Artifact& one) { return one.name == adapter.model; });
      if (loads_left > 0 && base_ready && adapter.memory_mb <= available_mb &&
          managed.controller.Load(clock_.Now(), item, adapter.memory_mb)) {
        available_mb -= adapter.memory_mb;
        --loads_left;
      }
    }
  }
}

// A model without a copy is expected after the loads queued before it, which
// run in batches of as many as there are slots, and then its own load.
void PlacementAgent::SetExpectedReady() {
  std::map<std::string, Instant, std::less<>> expected;
  const auto copies = CopiesOf(planner_input_, false);
  const std::int64_t slots = Setting("weight_store_slots");
  const std::int64_t load_us = Setting("model_load_ms") * 1000;
  const std::int64_t batches_ahead =
      load_queue_.CountAhead(LoadPriority::kNoCopyCallersWait) / slots;
  for (std::size_t m = 0; m < copies.size(); ++m) {
    if (copies[m].empty()) {
      expected[planner_input_.models[m].name] =
          clock_.Now() + Micros(load_us * (1 + batches_ahead));
    }
  }
  demand_tracker_.SetExpectedReady(std::move(expected));
}

}  // namespace jackdaw
