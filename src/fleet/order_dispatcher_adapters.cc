// Orders to load and unload adapters. Requests are held until their adapter is
// loaded, so the waits here are short.
#include <algorithm>

#include "fleet/order_dispatcher.h"

namespace jackdaw::serving {
namespace {

// Assumed time that a target takes to load an adapter from the weight store.
// The adapter counts as loaded after it.
constexpr Micros kAdapterLoadTime = 18ms;
// Limit of polls, 5 ms apart (200 ms in total), for an adapter that another
// request is loading, and for a target that can take an order.
constexpr int kMaxAdapterPolls = 40;

}  // namespace

std::vector<std::string> OrderDispatcher::TargetsHolding(
    const Service& service,
    const std::string& name) const {
  std::vector<std::string> holders;
  for (const TargetPtr& target : registry_.Usable(service.name)) {
    if (target->adapters.contains(name)) {
      holders.push_back(target->entry.id);
    }
  }
  return holders;
}

// Returns the target with the model and the least load. Targets with a free
// adapter slot are preferred; targets that are suspected to have failed come
// last.
TargetPtr OrderDispatcher::ChooseAdapterTarget(const Service& service,
                                               const std::string& model) const {
  TargetPtr best;
  double best_cost = 0;
  const Instant now = clock_.Now();
  for (const TargetPtr& target : registry_.Usable(service.name)) {
    const auto tracked = tracked_targets_.find(target->entry.id);
    const bool busy =
        tracked != tracked_targets_.end() && tracked->second.tracker.Busy(now);
    if (!target->HoldsModel(model) || busy || target->notice.Rests(now)) {
      continue;
    }
    const auto held = static_cast<double>(target->adapters.size());
    // The unit is requests: the probable load plus penalties.
    const double cost = target->EstimatedLoad(now) + held * 4 +
                        (held >= service.engine->adapter_slots ? 100 : 0) +
                        (now < target->backoff_until ? 1000 : 0);
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best;
}

// Returns the least recently requested adapter of a target.
std::optional<std::string> OrderDispatcher::AdapterToUnload(
    const Target& target) {
  const auto& requested_at = TrackerOf(target).adapter_requested_at;
  std::optional<std::string> oldest;
  Instant oldest_at{};
  for (const std::string& name : target.adapters) {
    const auto requested = requested_at.find(name);
    const Instant at =
        requested == requested_at.end() ? Instant{} : requested->second;
    if (!oldest || at < oldest_at) {
      oldest = name;
      oldest_at = at;
    }
  }
  return oldest;
}

boost::asio::awaitable<bool> OrderDispatcher::LoadAdapterOn(
    TargetPtr target,
    EngineSpec offer,
    std::string model,
    std::string adapter) {
  const std::string name = model + "/" + adapter;
  platform::Order order;
  order.model = model;
  order.adapter = adapter;
  const Answer answer = co_await SendOrder(target, offer, order);
  if (!answer) {
    // The target may still load the adapter, so its slot counts as used.
    registry_.SetAdapter(*target, name, true);
    co_return false;
  }
  const bool loaded = answer == platform::OrderAnswer::kAccepted ||
                      answer == platform::OrderAnswer::kAlreadyDone;
  if (answer == platform::OrderAnswer::kAccepted) {
    co_await Pause(kAdapterLoadTime);
  }
  if (loaded) {
    registry_.SetAdapter(*target, name, true);
    TrackerOf(*target).adapter_requested_at[name] = clock_.Now();
  }
  co_return loaded;
}

// Unloads adapters until the adapter `name` fits.
boost::asio::awaitable<bool> OrderDispatcher::EvictAdapters(TargetPtr target,
                                                            EngineSpec offer,
                                                            std::string name) {
  if (!TrackerOf(*target).accepted_orders()) {
    co_await FetchReport(target);
  }
  while (!TrackerOf(*target).HasRoom(offer, *target, name, clock_.Now())) {
    const auto victim = AdapterToUnload(*target);
    if (!victim) {
      co_return false;
    }
    platform::Order order;
    order.load = false;
    order.model = victim->substr(0, victim->find('/'));
    order.adapter = victim->substr(victim->find('/') + 1);
    const Answer answer = co_await SendOrder(target, offer, order);
    if (answer != platform::OrderAnswer::kAccepted &&
        answer != platform::OrderAnswer::kAlreadyDone) {
      co_return false;
    }
    registry_.SetAdapter(*target, *victim, false);
  }
  co_return true;
}

boost::asio::awaitable<std::vector<std::string>> OrderDispatcher::PlaceAdapter(
    Service service,
    std::string model,
    std::string adapter) {
  const std::string name = model + "/" + adapter;
  for (int poll = 0;
       adapters_loading_.contains(name) && poll < kMaxAdapterPolls; ++poll) {
    co_await Pause(5ms);
  }
  std::vector<std::string> holders = TargetsHolding(service, name);
  const Instant now = clock_.Now();
  for (const std::string& id : holders) {
    tracked_targets_[id].tracker.adapter_requested_at[name] = now;
  }
  if (!holders.empty() || !service.engine) {
    co_return holders;
  }
  // Waits until a target that holds the model can take an order.
  TargetPtr target = ChooseAdapterTarget(service, model);
  for (int poll = 0; target == nullptr && poll < kMaxAdapterPolls; ++poll) {
    co_await Pause(5ms);
    target = ChooseAdapterTarget(service, model);
  }
  if (target == nullptr || adapters_loading_.contains(name)) {
    co_return TargetsHolding(service, name);
  }
  adapters_loading_.insert(name);
  TrackerOf(*target).adapter_order_in_progress = true;
  bool loaded = co_await EvictAdapters(target, *service.engine, name);
  if (loaded) {
    loaded = co_await LoadAdapterOn(target, *service.engine, model, adapter);
  }
  TrackerOf(*target).adapter_order_in_progress = false;
  adapters_loading_.erase(name);
  if (loaded) {
    holders.push_back(target->entry.id);
  }
  co_return holders;
}

}  // namespace jackdaw::serving
