#include <algorithm>

#include "placement/placement_duty.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time over which a rate of demand is taken at the least.
constexpr Micros kRateTime = 1s;
// What an instance published counts for its targets for so long.
constexpr Micros kStateTime = 60s;
// A ticket is renewed when less than this is left of it.
constexpr Micros kRenewTime = 5s;

Artifact ModelItem(std::string_view name, std::int64_t version) {
  return {ArtifactKind::kModel, std::string(name), version};
}

}  // namespace

CopySet PlacementDuty::CopiesFor(std::string_view model) const {
  const auto found = survey_.copies.find(model);
  return found != survey_.copies.end() ? found->second
                                       : CopySet{std::string(model), 0, {}};
}

void PlacementDuty::TakeDemand() {
  const Instant now = clock_.Now();
  if (now - last_taken_at_ < kRateTime) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - last_taken_at_).count();
  last_taken_at_ = now;
  own_rate_.clear();
  for (const auto& [model, tokens] : board_.TakeTokens()) {
    own_rate_[model] =
        static_cast<std::int64_t>(static_cast<double>(tokens) / seconds);
  }
  for (const auto& model : config_->models) {
    std::int64_t total = 0;
    if (const auto own = own_rate_.find(model.name); own != own_rate_.end()) {
      total += own->second;
    }
    for (const auto& [name, peer] : peers_) {
      const auto found = peer.state.demand.find(model.name);
      if (name != self_ && found != peer.state.demand.end() &&
          now - peer.changed_at < kStateTime) {
        total += found->second;
      }
    }
    demand_.OnRate(now, model.name, static_cast<double>(total));
  }
}

// Own ledgers go before what others published, and newer before older.
void PlacementDuty::Survey() {
  const Instant now = clock_.Now();
  survey_.targets.clear();
  survey_.waiting = board_.Waiting();
  std::map<std::string, Instant, std::less<>> seen;
  for (const auto& [name, peer] : peers_) {
    if (name == self_ || now - peer.changed_at > kStateTime) {
      continue;
    }
    survey_.waiting.insert(survey_.waiting.end(), peer.state.waiting.begin(),
                           peer.state.waiting.end());
    for (const auto& target : peer.state.targets) {
      Instant& at = seen[target.name];
      if (peer.changed_at > at) {
        at = peer.changed_at;
        survey_.targets[target.name] = target;
      }
    }
  }
  for (const auto& [name, own] : own_) {
    if (own.controller.IsReady(now)) {
      survey_.targets[name] = StateOf(
          name, IsUsable(own), own.controller.ledger(), AdapterMemory(own));
    }
  }
  queue_.Expire(now);
  for (const auto& ticket : queue_.tickets()) {
    const auto found = survey_.targets.find(ticket.target);
    const auto own = own_.find(ticket.target);
    const bool mine = own != own_.end() && own->second.wanted;
    if (found != survey_.targets.end() && !mine) {
      found->second.incoming.push_back(ModelItem(ticket.model, 1));
    }
  }
  plan_ = BuildPlan(*config_, survey_, demand_, ToMillis(now));
}

// Binds the copies that are ready here, so that others may rely on them.
asio::awaitable<void> PlacementDuty::BindCopies() {
  for (auto& [name, own] : own_) {
    if (!IsUsable(own)) {
      continue;
    }
    for (const auto& item : survey_.targets[name].ready) {
      const CopySet set = CopiesFor(item.name);
      if (!Contains(set, name)) {
        static_cast<void>(co_await Commit(BindCopy(set, name)));
      }
    }
  }
}

// Unloads a copy once the table lets this target go.
asio::awaitable<void> PlacementDuty::Evict(OwnTarget& own, Artifact item) {
  const std::string name = own.controller.target().name;
  const CopySet set = CopiesFor(item.name);
  if (Contains(set, name)) {
    const auto is_live = [this](std::string_view target) {
      const auto found = survey_.targets.find(target);
      return found != survey_.targets.end() && found->second.usable;
    };
    if (!CanRelease(set, name, is_live)) {
      co_return;
    }
    if (!co_await Commit(ReleaseCopy(set, name))) {
      co_return;
    }
  }
  own.controller.Unload(clock_.Now(), item);
}

// Replaces old versions: the new one beside the old where it fits, else the
// old one goes where another copy serves.
asio::awaitable<void> PlacementDuty::RollOut() {
  for (auto& [name, own] : own_) {
    if (!IsUsable(own)) {
      continue;
    }
    const std::vector<Artifact> ready = survey_.targets[name].ready;
    for (const auto& item : ready) {
      const auto model =
          std::find_if(config_->models.begin(), config_->models.end(),
                       [&](const Model& one) { return one.name == item.name; });
      if (model == config_->models.end() || item.version >= model->version) {
        continue;
      }
      const Artifact next = ModelItem(model->name, model->version);
      if (own.controller.ledger().IsReady(next)) {
        own.controller.Unload(clock_.Now(), item);
      } else if (own.controller.ledger().CanLoad(next, model->memory_mb)) {
        LoadTicket ticket{name, model->name, LoadPriority::kExtraCopy};
        if (co_await AskSlot(ticket)) {
          own.controller.Load(clock_.Now(), next, model->memory_mb);
        }
      } else if (!own.controller.ledger().holdings().contains(next)) {
        co_await Evict(own, item);
      }
    }
  }
}

asio::awaitable<bool> PlacementDuty::AskSlot(const LoadTicket& ticket) {
  LoadQueue next = queue_;
  const bool begun = next.Ask(
      clock_.Now(), ticket, static_cast<int>(Setting("weight_store_slots")),
      static_cast<int>(Setting("weight_store_loads_per_s")));
  Transaction transaction;
  transaction.checks.push_back({std::string(kLoadQueueRow), queue_version_});
  transaction.writes.push_back({std::string(kLoadQueueRow), next.Encode()});
  Result<jackdaw::Commit> commit =
      co_await platform_.Transact(std::move(transaction), clock_.Now() + 2s);
  if (!commit || !commit.value().committed) {
    co_return false;
  }
  queue_ = std::move(next);
  queue_version_ = commit.value().version;
  co_return begun;
}

asio::awaitable<void> PlacementDuty::BeginLoad(OwnTarget& own,
                                               const Move& move) {
  const auto& model = config_->models[static_cast<std::size_t>(move.model)];
  const Artifact item = ModelItem(model.name, model.version);
  if (!own.controller.ledger().CanLoad(item, model.memory_mb)) {
    co_return;
  }
  LoadTicket ticket{own.controller.target().name, model.name};
  if (move.reason == MoveReason::kNoCopy) {
    const bool waiting =
        plan_.models[static_cast<std::size_t>(move.model)].waiting;
    ticket.priority =
        waiting ? LoadPriority::kNoCopyCallersWait : LoadPriority::kNoCopy;
  }
  if (co_await AskSlot(ticket)) {
    own.controller.Load(clock_.Now(), item, model.memory_mb);
  }
}

// Plans for the own targets and carries the moves out as far as the weight
// store and the memory that is really free allow.
asio::awaitable<void> PlacementDuty::CarryOut() {
  std::vector<int> mine;
  for (std::size_t t = 0; t < plan_.targets.size(); ++t) {
    const auto own = own_.find(plan_.targets[t].name);
    if (own != own_.end() && own->second.wanted && IsUsable(own->second)) {
      mine.push_back(static_cast<int>(t));
    }
  }
  moves_ = planner_.Plan(plan_, mine,
                         static_cast<int>(Setting("weight_store_slots")));
  const std::vector<Move> moves = moves_;
  for (const Move& move : moves) {
    OwnTarget& own =
        own_.find(plan_.targets[static_cast<std::size_t>(move.target)].name)
            ->second;
    if (move.load) {
      co_await BeginLoad(own, move);
      continue;
    }
    const std::vector<Artifact> ready =
        survey_.targets[own.controller.target().name].ready;
    for (const auto& item : ready) {
      if (item.name ==
          plan_.models[static_cast<std::size_t>(move.model)].name) {
        co_await Evict(own, item);
      }
    }
  }
}

// Gives back the slots of loads that have ended, and renews the others.
asio::awaitable<void> PlacementDuty::ReturnSlots() {
  LoadQueue next = queue_;
  bool changed = false;
  const std::vector<LoadTicket> tickets = queue_.tickets();
  for (const auto& ticket : tickets) {
    const auto own = own_.find(ticket.target);
    if (own == own_.end() || !own->second.controller.IsReady(clock_.Now())) {
      continue;
    }
    bool loading = false;
    for (const auto& [item, holding] :
         own->second.controller.ledger().holdings()) {
      loading = loading || (item.name == ticket.model &&
                            holding.state == HoldingState::kLoading);
    }
    const bool begun = ticket.begun_at != Instant{};
    if (begun && !loading) {
      changed = next.Remove(ticket.target, ticket.model) || changed;
    } else if (begun && ticket.expires_at - clock_.Now() < kRenewTime) {
      next.Ask(clock_.Now(), ticket, 1, 1);
      changed = true;
    }
  }
  if (!changed) {
    co_return;
  }
  Transaction transaction;
  transaction.checks.push_back({std::string(kLoadQueueRow), queue_version_});
  transaction.writes.push_back({std::string(kLoadQueueRow), next.Encode()});
  static_cast<void>(co_await Commit(std::move(transaction)));
}

// Loads the adapters of the models that are ready, within the memory kept for
// them and this instance's part of the loads that may be in flight.
void PlacementDuty::LoadAdapters() {
  const auto instances = std::max<std::size_t>(1, peers_.size());
  auto left = std::max<std::int64_t>(
      1, Setting("adapter_loads") / static_cast<std::int64_t>(instances));
  for (auto& [name, own] : own_) {
    std::int64_t room = AdapterMemory(own);
    for (const auto& [item, holding] : own.controller.ledger().holdings()) {
      if (item.kind == ArtifactKind::kAdapter) {
        room -= holding.memory_mb;
        left -= holding.state == HoldingState::kLoading ? 1 : 0;
      }
    }
    if (!IsUsable(own)) {
      continue;
    }
    for (const auto& adapter : config_->adapters) {
      const Artifact item{ArtifactKind::kAdapter, adapter.name, 1};
      const auto& ready = survey_.targets[name].ready;
      const bool base_ready = std::any_of(
          ready.begin(), ready.end(),
          [&](const Artifact& one) { return one.name == adapter.model; });
      if (left > 0 && base_ready && adapter.memory_mb <= room &&
          own.controller.Load(clock_.Now(), item, adapter.memory_mb)) {
        room -= adapter.memory_mb;
        --left;
      }
    }
  }
}

// A model without a copy is expected once the loads before it are done.
void PlacementDuty::SetExpected() {
  std::map<std::string, Instant, std::less<>> expected;
  const auto copies = CopiesOf(plan_, false);
  const std::int64_t slots = Setting("weight_store_slots");
  const std::int64_t load_us = Setting("model_load_ms") * 1000;
  const std::int64_t ahead =
      queue_.Ahead(LoadPriority::kNoCopyCallersWait) / slots;
  for (std::size_t m = 0; m < copies.size(); ++m) {
    if (copies[m].empty()) {
      expected[plan_.models[m].name] =
          clock_.Now() + Micros(load_us * (1 + ahead));
    }
  }
  board_.SetExpected(std::move(expected));
}

}  // namespace jackdaw
