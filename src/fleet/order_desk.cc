#include "fleet/order_desk.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Time for a target to answer an order or a report.
constexpr Micros kAnswerTime = 700ms;
// Pace at which an entry is looked at while an order is carried out.
constexpr Micros kLook = 60ms;
// Repeats of an order that was not answered, and the pause before each.
constexpr int kOrderRepeats = 3;
constexpr Micros kRepeatPause = 100ms;
// Age of a target's report at most.
constexpr Micros kReportLag = 500ms;
// Time for a target to finish the requests of a model that it unloads.
constexpr Micros kUnloadTime = 9s;
// Time allowed for a load beyond what the model names.
constexpr Micros kLoadMargin = 8s;

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
  load_budget_.OnTerm(now);
}

EngineLedger& OrderDesk::LedgerOf(const Target& target) {
  Desk& desk = desks_[target.entry.id];
  if (desk.born_ms != target.entry.born_ms) {
    desk = {};
    desk.born_ms = target.entry.born_ms;
  }
  return desk.ledger;
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
  LedgerOf(*target).OnReport(report.value(), clock_.Now());
  for (const std::string& name : report.value().adapters) {
    target->adapters.insert(name);
  }
  co_return true;
}

// Sends an order until it is answered. @returns no value where it never was
boost::asio::awaitable<OrderDesk::Answer>
OrderDesk::Send(TargetPtr target, EngineSpec offer, platform::Order order) {
  if (!LedgerOf(*target).orders()) {
    co_await Refresh(target);
  }
  const auto accepted = LedgerOf(*target).orders();
  if (!accepted) {
    co_return platform::OrderAnswer::kConflict;
  }
  const std::string name =
      order.adapter.empty() ? order.model : order.model + "/" + order.adapter;
  if (order.load &&
      !LedgerOf(*target).HasRoom(offer, *target, name, clock_.Now())) {
    Log(LogLevel::kInfo, "order_without_room",
        {{"target", target->entry.id}, {"model", name}});
    co_return platform::OrderAnswer::kRefused;
  }
  if (!leadership_.MayOrder(boot_clock_.Now())) {
    co_return platform::OrderAnswer::kFenced;
  }
  order.expected_orders = *accepted;
  order.holder = holder_;
  order.fencing_token = leadership_.term();
  order.target_id = target->entry.id;
  Answer answer = co_await SendOnce(target, order);
  if (!answer) {
    answer = co_await Repeat(target, order);
  }
  LedgerOf(*target).OnOrder(order, answer, clock_.Now());
  co_return answer;
}

boost::asio::awaitable<OrderDesk::Answer> OrderDesk::SendOnce(
    TargetPtr target,
    platform::Order order) {
  auto call =
      http_.Prepare(target->entry.address, platform::EncodeOrder(order),
                    clock_.Now() + kAnswerTime, ConnectionChoice::kFresh);
  ++orders_sent_;
  const Result<HttpResponse> head = co_await call->Start();
  Answer answer;
  if (head) {
    answer = platform::DecodeOrderAnswer(head.value().status);
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

// Sends an order again that was not answered. It names the same count of
// accepted orders, so the target carries out one of the two at most.
boost::asio::awaitable<OrderDesk::Answer> OrderDesk::Repeat(
    TargetPtr target,
    platform::Order order) {
  for (int i = 0; i < kOrderRepeats; ++i) {
    co_await Pause(kRepeatPause);
    if (!leadership_.MayOrder(boot_clock_.Now()) || target->leaving) {
      break;
    }
    const Answer answer = co_await SendOnce(target, order);
    if (answer != platform::OrderAnswer::kConflict) {
      if (answer) {
        co_return answer;
      }
      continue;
    }
    // The first one may have been accepted meanwhile; reports lag behind.
    co_await Pause(kReportLag);
    co_await Refresh(target);
    const auto orders = LedgerOf(*target).orders();
    const bool advanced = !orders || *orders > order.expected_orders;
    LedgerOf(*target).ForgetOrders();
    co_return advanced ? platform::OrderAnswer::kAccepted
                       : platform::OrderAnswer::kConflict;
  }
  co_return std::nullopt;
}

std::vector<EngineView> OrderDesk::Views(const Service& service) const {
  std::vector<EngineView> views;
  const Instant now = clock_.Now();
  for (const TargetPtr& target : board_.Usable(service.name)) {
    EngineView view;
    view.id = target->entry.id;
    view.near_models = target->entry.near_models;
    const auto found = desks_.find(target->entry.id);
    std::set<std::string> models;
    if (found != desks_.end() &&
        found->second.born_ms == target->entry.born_ms) {
      models = found->second.ledger.Models(target->entry, now);
      view.busy = found->second.ledger.Busy(now);
    } else {
      for (const HeldModel& model : target->entry.models) {
        models.insert(model.name);
      }
    }
    view.models.assign(models.begin(), models.end());
    views.push_back(std::move(view));
  }
  std::sort(
      views.begin(), views.end(),
      [](const EngineView& a, const EngineView& b) { return a.id < b.id; });
  return views;
}

int OrderDesk::LoadsFree(const EngineSpec& offer) const {
  return load_budget_.Free(offer, clock_.Now());
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
  for (const ModelSpec& model : service.engine->models) {
    load_time = model.name == move.load ? model.load_time : load_time;
  }
  LedgerOf(*target).Begin(
      move.load, clock_.Now() + kUnloadTime + kLoadMargin + load_time * 4);
  if (move.from_store) {
    load_budget_.OnLoad(clock_.Now());
  }
  bool going = true;
  for (const std::string& model : move.unload) {
    platform::Order order;
    order.load = false;
    order.model = model;
    const Answer answer = co_await Send(target, *service.engine, order);
    going = answer == platform::OrderAnswer::kAccepted ||
            answer == platform::OrderAnswer::kHolds;
    if (going) {
      going =
          co_await AwaitModel(target, model, false, clock_.Now() + kUnloadTime);
    }
    if (!going) {
      break;
    }
  }
  if (going) {
    platform::Order order;
    order.model = move.load;
    const Answer answer = co_await Send(target, *service.engine, order);
    if (answer == platform::OrderAnswer::kAccepted) {
      co_await AwaitModel(target, move.load, true,
                          clock_.Now() + load_time * 4 + kLoadMargin);
    }
  }
  LedgerOf(*target).End();
}

}  // namespace jackdaw::serving
