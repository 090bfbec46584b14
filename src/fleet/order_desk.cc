#include "fleet/order_desk.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Time for a target to answer an order or a report.
constexpr Micros kAnswerTime = 700ms;
// Time for which an order without an answer may still be carried out.
constexpr Micros kUncertain = 14s;
// Time for an adapter to come from the store.
constexpr Micros kAdapterTime = 18ms;
// Pace at which an entry is looked at while an order is carried out.
constexpr Micros kLook = 60ms;
// Time for a target to finish the requests of a model that it unloads.
constexpr Micros kUnloadTime = 9s;
// Time allowed for a load beyond what the model names.
constexpr Micros kLoadMargin = 8s;
// Window of the bound on loads from the weight store.
constexpr Micros kLoadWindow = 5s;
// Part of the bound that is used.
constexpr double kLoadPart = 0.9;
// Looks at an adapter that another request is loading.
constexpr int kAdapterLooks = 40;

double AdapterMb(const EngineOffer& offer, std::string_view name) {
  const auto model = name.substr(0, name.find('/'));
  for (const ModelOffer& item : offer.models) {
    if (item.name == model) {
      return item.adapter_mb;
    }
  }
  return 0;
}

double HeldMb(const EngineOffer& offer, const Target& target) {
  double held = 0;
  for (const HeldModel& model : target.entry.models) {
    for (const ModelOffer& item : offer.models) {
      held += item.name == model.name ? item.weights_mb : 0;
    }
  }
  for (const std::string& adapter : target.adapters) {
    held += AdapterMb(offer, adapter);
  }
  return held;
}

}  // namespace

OrderDesk::OrderDesk(HttpClient& http,
                     TargetBoard& board,
                     const Leadership& leadership,
                     const MonotonicClock& clock,
                     const BootClock& boot_clock,
                     std::string holder)
    : http_(http),
      board_(board),
      leadership_(leadership),
      clock_(clock),
      boot_clock_(boot_clock),
      holder_(std::move(holder)) {}

void OrderDesk::OnTerm(Instant now) {
  desks_.clear();
  store_loads_.assign(4, now);
}

OrderDesk::Desk& OrderDesk::DeskOf(const Target& target) {
  Desk& desk = desks_[target.entry.id];
  if (desk.born_ms != target.entry.born_ms) {
    desk = {};
    desk.born_ms = target.entry.born_ms;
  }
  return desk;
}

boost::asio::awaitable<void> OrderDesk::Pause(Micros span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(span);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

// Asks the target how many orders it has accepted and what it holds.
boost::asio::awaitable<bool> OrderDesk::Refresh(TargetPtr target) {
  auto call =
      http_.Prepare(target->entry.address, platform::ReportRequest(),
                    clock_.Now() + kAnswerTime, ConnectionChoice::kFresh);
  const Result<HttpResponse> head = co_await call->Start();
  if (!head || head.value().status != 200) {
    co_return false;
  }
  std::string body;
  for (;;) {
    const Result<bool> more = co_await call->ReadSome(body);
    if (!more) {
      co_return false;
    }
    if (!more.value()) {
      break;
    }
  }
  const auto report = platform::DecodeReport(body);
  if (!report) {
    Log(LogLevel::kWarn, "report_unreadable",
        {{"target", target->entry.id}, {"error", report.error().Line()}});
    co_return false;
  }
  Desk& desk = DeskOf(*target);
  desk.orders = report.value().orders_accepted;
  for (const std::string& name : report.value().adapters) {
    target->adapters.insert(name);
  }
  co_return true;
}

// Sends an order once. @returns no value where no answer came
boost::asio::awaitable<OrderDesk::Answer> OrderDesk::Send(
    TargetPtr target,
    platform::Order order) {
  if (!DeskOf(*target).orders && !co_await Refresh(target)) {
    co_return platform::OrderAnswer::kRefused;
  }
  if (!leadership_.MayOrder(boot_clock_.Now())) {
    co_return platform::OrderAnswer::kFenced;
  }
  order.expected_orders = *DeskOf(*target).orders;
  order.holder = holder_;
  order.fencing_token = leadership_.term();
  order.target_id = target->entry.id;
  auto call =
      http_.Prepare(target->entry.address, platform::EncodeOrder(order),
                    clock_.Now() + kAnswerTime, ConnectionChoice::kFresh);
  const Result<HttpResponse> head = co_await call->Start();
  Desk& desk = DeskOf(*target);
  Answer answer;
  if (head) {
    answer = platform::DecodeOrderAnswer(head.value().status);
    if (answer == platform::OrderAnswer::kAccepted) {
      ++*desk.orders;
    } else {
      desk.orders.reset();
    }
  } else {
    desk.orders.reset();
    desk.uncertain_until = clock_.Now() + kUncertain;
  }
  Log(LogLevel::kInfo, "order",
      {{"target", target->entry.id},
       {"op", order.load ? "load" : "unload"},
       {"model", order.model},
       {"adapter", order.adapter},
       {"term", std::to_string(order.fencing_token)},
       {"expected_orders", std::to_string(order.expected_orders)},
       {"status", head ? std::to_string(head.value().status)
                       : "none: " + head.error().Line()}});
  co_return answer;
}

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
    const bool busy = desk != desks_.end() &&
                      (desk->second.sending || now < desk->second.busy_until);
    if (!target->HoldsModel(model) || busy) {
      continue;
    }
    const auto held = static_cast<double>(target->adapters.size());
    const double cost = target->LikelyLoad() + held * 4 +
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
std::optional<std::string> OrderDesk::AdapterToUnload(const Target& target,
                                                      const Desk& desk) const {
  std::optional<std::string> oldest;
  Instant oldest_at{};
  for (const std::string& name : target.adapters) {
    const auto asked = desk.adapter_asked.find(name);
    const Instant at =
        asked == desk.adapter_asked.end() ? Instant{} : asked->second;
    if (!desk.adapters_pending.contains(name) && (!oldest || at < oldest_at)) {
      oldest = name;
      oldest_at = at;
    }
  }
  return oldest;
}

boost::asio::awaitable<bool> OrderDesk::LoadAdapterAt(TargetPtr target,
                                                      std::string model,
                                                      std::string adapter) {
  const std::string name = model + "/" + adapter;
  platform::Order order;
  order.model = model;
  order.adapter = adapter;
  DeskOf(*target).adapters_pending.insert(name);
  Answer answer = co_await Send(target, order);
  if (answer == platform::OrderAnswer::kConflict) {
    answer = co_await Send(target, order);
  }
  Desk& desk = DeskOf(*target);
  if (!answer) {
    // It may still come; its place stays taken.
    target->adapters.insert(name);
    co_return false;
  }
  desk.adapters_pending.erase(name);
  const bool loaded = answer == platform::OrderAnswer::kAccepted ||
                      answer == platform::OrderAnswer::kHolds;
  if (answer == platform::OrderAnswer::kAccepted) {
    co_await Pause(kAdapterTime);
  }
  if (loaded) {
    board_.SetAdapter(*target, name, true);
    DeskOf(*target).adapter_asked[name] = clock_.Now();
  }
  co_return loaded;
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
    desks_[id].adapter_asked[name] = now;
  }
  if (!holders.empty() || !service.engine) {
    co_return holders;
  }
  const TargetPtr target = ChooseAdapterHost(service, model);
  if (target == nullptr) {
    co_return holders;
  }
  adapters_loading_.insert(name);
  DeskOf(*target).sending = true;
  const EngineOffer& offer = *service.engine;
  bool room = true;
  while (room &&
         (static_cast<int>(target->adapters.size()) >= offer.adapter_slots ||
          HeldMb(offer, *target) + AdapterMb(offer, name) > offer.weights_mb)) {
    const auto victim = AdapterToUnload(*target, DeskOf(*target));
    if (!victim) {
      room = false;
      break;
    }
    platform::Order order;
    order.load = false;
    order.model = victim->substr(0, victim->find('/'));
    order.adapter = victim->substr(victim->find('/') + 1);
    const Answer answer = co_await Send(target, order);
    room = answer == platform::OrderAnswer::kAccepted ||
           answer == platform::OrderAnswer::kHolds;
    if (room) {
      board_.SetAdapter(*target, *victim, false);
    }
  }
  const bool loaded = room && co_await LoadAdapterAt(target, model, adapter);
  DeskOf(*target).sending = false;
  adapters_loading_.erase(name);
  if (loaded) {
    holders.push_back(target->entry.id);
  }
  co_return holders;
}

std::vector<EngineView> OrderDesk::Views(const Service& service) const {
  std::vector<EngineView> views;
  const Instant now = clock_.Now();
  for (const TargetPtr& target : board_.Usable(service.name)) {
    EngineView view;
    view.id = target->entry.id;
    for (const HeldModel& model : target->entry.models) {
      view.models.push_back(model.name);
    }
    view.near_models = target->entry.near_models;
    const auto found = desks_.find(target->entry.id);
    if (found != desks_.end() &&
        found->second.born_ms == target->entry.born_ms) {
      const Desk& desk = found->second;
      view.busy =
          desk.sending || now < desk.busy_until || now < desk.uncertain_until;
      if (view.busy) {
        view.loading = desk.loading;
        view.unloading = desk.unloading;
      }
    }
    views.push_back(std::move(view));
  }
  std::sort(
      views.begin(), views.end(),
      [](const EngineView& a, const EngineView& b) { return a.id < b.id; });
  return views;
}

int OrderDesk::LoadsFree(const EngineOffer& offer) const {
  const Instant now = clock_.Now();
  const double window = std::chrono::duration<double>(kLoadWindow).count();
  const auto lately =
      std::count_if(store_loads_.begin(), store_loads_.end(),
                    [&](Instant at) { return now - at < kLoadWindow; });
  double load_seconds = 0;
  for (const ModelOffer& model : offer.models) {
    load_seconds = std::max(
        load_seconds, std::chrono::duration<double>(model.load_time).count());
  }
  const int at_once = std::max(
      1, static_cast<int>(std::floor(offer.loads_per_second * load_seconds)));
  const auto loading = std::count_if(
      desks_.begin(), desks_.end(),
      [](const auto& item) { return item.second.loading.has_value(); });
  const int by_rate = static_cast<int>(std::floor(
                          kLoadPart * offer.loads_per_second * window)) -
                      static_cast<int>(lately);
  return std::min(by_rate, at_once - static_cast<int>(loading));
}

// Waits until the target's entry says that it holds a model, or no longer.
boost::asio::awaitable<bool> OrderDesk::AwaitModel(TargetPtr target,
                                                   std::string model,
                                                   bool held,
                                                   Instant deadline) {
  while (clock_.Now() < deadline) {
    if (board_.Find(target->entry.id) != target || target->leaving) {
      co_return false;
    }
    if (target->HoldsModel(model) == held) {
      co_return true;
    }
    co_await Pause(kLook);
  }
  co_return false;
}

boost::asio::awaitable<void> OrderDesk::RunMove(Service service,
                                                ModelMove move) {
  const TargetPtr target = board_.Find(move.engine);
  if (target == nullptr) {
    co_return;
  }
  Micros load_time = 0s;
  for (const ModelOffer& model : service.engine->models) {
    load_time = model.name == move.load ? model.load_time : load_time;
  }
  {
    Desk& desk = DeskOf(*target);
    desk.loading = move.load;
    desk.busy_until = clock_.Now() + kUnloadTime + kLoadMargin + load_time;
  }
  if (move.from_store) {
    store_loads_.push_back(clock_.Now());
    if (store_loads_.size() > 256) {
      store_loads_.pop_front();
    }
  }
  bool going = true;
  for (const std::string& model : move.unload) {
    platform::Order order;
    order.load = false;
    order.model = model;
    DeskOf(*target).unloading = model;
    const Answer answer = co_await Send(target, order);
    going = answer == platform::OrderAnswer::kAccepted ||
            answer == platform::OrderAnswer::kHolds;
    if (going) {
      going =
          co_await AwaitModel(target, model, false, clock_.Now() + kUnloadTime);
    }
    DeskOf(*target).unloading.reset();
    if (!going) {
      break;
    }
  }
  if (going) {
    platform::Order order;
    order.model = move.load;
    const Answer answer = co_await Send(target, order);
    if (answer == platform::OrderAnswer::kAccepted) {
      co_await AwaitModel(target, move.load, true,
                          clock_.Now() + load_time * 4 + kLoadMargin);
    }
  }
  Desk& desk = DeskOf(*target);
  if (clock_.Now() >= desk.uncertain_until) {
    desk.loading.reset();
  }
  desk.busy_until = Instant{};
}

}  // namespace jackdaw::serving
