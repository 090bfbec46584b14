// Orders about adapters, which requests wait for.
#include <algorithm>

#include "fleet/order_desk.h"

namespace jackdaw::serving {
namespace {

// Time for an adapter to come from the store.
constexpr Micros kAdapterTime = 18ms;
// Looks at an adapter that another request is loading.
constexpr int kAdapterLooks = 40;

}  // namespace

std::vector<std::string> OrderDesk::HoldersOf(const Service& service,
                                              const std::string& name) const {
  std::vector<std::string> holders;
  for (const TargetPtr& target : board_.Usable(service.name)) {
    if (target->adapters.contains(name)) {
      holders.push_back(target->entry.id);
    }
  }
  return holders;
}

// The target with the model and the least load; one with a free place first.
TargetPtr OrderDesk::ChooseAdapterHost(const Service& service,
                                       const std::string& model) const {
  TargetPtr best;
  double best_cost = 0;
  const Instant now = clock_.Now();
  for (const TargetPtr& target : board_.Usable(service.name)) {
    const auto desk = desks_.find(target->entry.id);
    const bool busy = desk != desks_.end() && desk->second.ledger.Busy(now);
    if (!target->HoldsModel(model) || busy) {
      continue;
    }
    const auto held = static_cast<double>(target->adapters.size());
    const double cost = target->LikelyLoad(now) + held * 4 +
                        (held >= service.engine->adapter_slots ? 100 : 0) +
                        (now < target->suspected_until ? 1000 : 0);
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best;
}

// The adapter that was asked for least lately.
std::optional<std::string> OrderDesk::AdapterToUnload(const Target& target) {
  const auto& asked_at = LedgerOf(target).adapter_asked;
  std::optional<std::string> oldest;
  Instant oldest_at{};
  for (const std::string& name : target.adapters) {
    const auto asked = asked_at.find(name);
    const Instant at = asked == asked_at.end() ? Instant{} : asked->second;
    if (!oldest || at < oldest_at) {
      oldest = name;
      oldest_at = at;
    }
  }
  return oldest;
}

boost::asio::awaitable<bool> OrderDesk::LoadAdapterAt(TargetPtr target,
                                                      EngineSpec offer,
                                                      std::string model,
                                                      std::string adapter) {
  const std::string name = model + "/" + adapter;
  platform::Order order;
  order.model = model;
  order.adapter = adapter;
  const Answer answer = co_await Send(target, offer, order);
  if (!answer) {
    // It may still come; its place stays taken.
    board_.SetAdapter(*target, name, true);
    co_return false;
  }
  const bool loaded = answer == platform::OrderAnswer::kAccepted ||
                      answer == platform::OrderAnswer::kHolds;
  if (answer == platform::OrderAnswer::kAccepted) {
    co_await Pause(kAdapterTime);
  }
  if (loaded) {
    board_.SetAdapter(*target, name, true);
    LedgerOf(*target).adapter_asked[name] = clock_.Now();
  }
  co_return loaded;
}

// Unloads adapters until one more fits.
boost::asio::awaitable<bool> OrderDesk::MakeAdapterRoom(TargetPtr target,
                                                        EngineSpec offer,
                                                        std::string name) {
  if (!LedgerOf(*target).orders()) {
    co_await Refresh(target);
  }
  while (!LedgerOf(*target).HasRoom(offer, *target, name, clock_.Now())) {
    const auto victim = AdapterToUnload(*target);
    if (!victim) {
      co_return false;
    }
    platform::Order order;
    order.load = false;
    order.model = victim->substr(0, victim->find('/'));
    order.adapter = victim->substr(victim->find('/') + 1);
    const Answer answer = co_await Send(target, offer, order);
    if (answer != platform::OrderAnswer::kAccepted &&
        answer != platform::OrderAnswer::kHolds) {
      co_return false;
    }
    board_.SetAdapter(*target, *victim, false);
  }
  co_return true;
}

boost::asio::awaitable<std::vector<std::string>> OrderDesk::PlaceAdapter(
    Service service,
    std::string model,
    std::string adapter) {
  const std::string name = model + "/" + adapter;
  for (int look = 0; adapters_loading_.contains(name) && look < kAdapterLooks;
       ++look) {
    co_await Pause(5ms);
  }
  std::vector<std::string> holders = HoldersOf(service, name);
  const Instant now = clock_.Now();
  for (const std::string& id : holders) {
    desks_[id].ledger.adapter_asked[name] = now;
  }
  if (!holders.empty() || !service.engine) {
    co_return holders;
  }
  // A host that is being ordered something else is waited for.
  TargetPtr target = ChooseAdapterHost(service, model);
  for (int look = 0; target == nullptr && look < kAdapterLooks; ++look) {
    co_await Pause(5ms);
    target = ChooseAdapterHost(service, model);
  }
  if (target == nullptr || adapters_loading_.contains(name)) {
    co_return HoldersOf(service, name);
  }
  adapters_loading_.insert(name);
  LedgerOf(*target).sending = true;
  bool loaded = co_await MakeAdapterRoom(target, *service.engine, name);
  if (loaded) {
    loaded = co_await LoadAdapterAt(target, *service.engine, model, adapter);
  }
  LedgerOf(*target).sending = false;
  adapters_loading_.erase(name);
  if (loaded) {
    holders.push_back(target->entry.id);
  }
  co_return holders;
}

}  // namespace jackdaw::serving
