#include "fleet/order_dispatcher.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <span>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Timeout of an order or a report request.
constexpr Micros kAnswerTimeout = 700ms;
// Interval at which a target's entry is polled while an order is executed.
constexpr Micros kEntryPollInterval = 60ms;
// Number of retries of an order that was not answered, and the delay before
// each.
constexpr int kOrderRetries = 3;
constexpr Micros kRetryDelay = 100ms;
// Assumed largest age of the data in a target's report.
constexpr Micros kMaxReportAge = 500ms;
// Longest report that is read. Reports of many targets may be read at a time.
constexpr std::size_t kMaxReportBytes = 64UL * 1024;
// Time for a target to finish the requests to a model that it unloads. The move
// is abandoned if the target still holds the model after it.
constexpr Micros kUnloadTimeout = 9s;
// Added to the timeout of a load, which is four times the model's load time.
constexpr Micros kLoadTimeoutMargin = 8s;

// Returns the mean ratio of the speed of the targets that report theirs.
// Placement does not follow momentary changes, as a load takes seconds.
double MeanLongTermRatio(std::span<const TargetPtr> targets) {
  double sum = 0;
  int reporting = 0;
  for (const TargetPtr& target : targets) {
    if (target->speed.reported()) {
      sum += target->speed.LongTermRatio();
      ++reporting;
    }
  }
  return reporting == 0 ? 1 : sum / reporting;
}

}  // namespace

OrderDispatcher::OrderDispatcher(HttpClient& http,
                                 TargetRegistry& registry,
                                 const Leadership& leadership,
                                 const MonotonicClock& clock,
                                 const BootClock& boot_clock,
                                 std::string own_name)
    : http_(http),
      registry_(registry),
      leadership_(leadership),
      clock_(clock),
      boot_clock_(boot_clock),
      own_name_(std::move(own_name)) {}

void OrderDispatcher::OnLeaseAcquired(Instant now) {
  tracked_targets_.clear();
  load_budget_.OnLeaseAcquired(now);
}

OrderTracker& OrderDispatcher::TrackerOf(const Target& target) {
  TrackedTarget& tracked = tracked_targets_[target.entry.id];
  if (tracked.born_ms != target.entry.born_ms) {
    tracked = {};
    tracked.born_ms = target.entry.born_ms;
  }
  return tracked.tracker;
}

boost::asio::awaitable<void> OrderDispatcher::Pause(Micros span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(span);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

// Requests a report from the target: its count of accepted orders and what it
// holds.
boost::asio::awaitable<bool> OrderDispatcher::FetchReport(TargetPtr target) {
  if (target->evacuated) {
    co_return false;
  }
  auto call =
      http_.Prepare(target->entry.address, platform::ReportRequest(),
                    clock_.Now() + kAnswerTimeout, ConnectionChoice::kFresh);
  const Result<HttpResponse> head = co_await call->Start();
  if (!head || head.value().status != 200) {
    co_return false;
  }
  const Result<std::string> body = co_await ReadBody(*call, kMaxReportBytes);
  if (!body) {
    Log(LogLevel::kWarn, "report_not_read",
        {{"target", target->entry.id}, {"error", body.error().Line()}});
    co_return false;
  }
  const auto report = platform::DecodeReport(body.value());
  if (!report) {
    Log(LogLevel::kWarn, "report_unreadable",
        {{"target", target->entry.id}, {"error", report.error().Line()}});
    co_return false;
  }
  TrackerOf(*target).OnReport(report.value(), clock_.Now());
  for (const std::string& name : report.value().adapters) {
    target->adapters.insert(name);
  }
  co_return true;
}

// Sends an order, and retries it while it is not answered.
// @returns the answer, or no value if none arrived; kConflict, kRefused or
// kFenced also without sending, if the target rests or is evacuated, the count
// of accepted orders is unknown, memory is short, or the lease does not allow
// orders
boost::asio::awaitable<OrderDispatcher::Answer> OrderDispatcher::SendOrder(
    TargetPtr target,
    EngineSpec offer,
    platform::Order order) {
  if (target->evacuated || target->notice.Rests(clock_.Now())) {
    co_return platform::OrderAnswer::kConflict;
  }
  if (!TrackerOf(*target).accepted_orders()) {
    co_await FetchReport(target);
  }
  const auto accepted = TrackerOf(*target).accepted_orders();
  if (!accepted) {
    co_return platform::OrderAnswer::kConflict;
  }
  const std::string name =
      order.adapter.empty() ? order.model : order.model + "/" + order.adapter;
  if (order.load &&
      !TrackerOf(*target).HasRoom(offer, *target, name, clock_.Now())) {
    Log(LogLevel::kInfo, "order_without_room",
        {{"target", target->entry.id}, {"model", name}});
    co_return platform::OrderAnswer::kRefused;
  }
  if (target->evacuated || !leadership_.MaySendOrders(boot_clock_.Now())) {
    co_return platform::OrderAnswer::kFenced;
  }
  order.expected_orders = *accepted;
  order.holder = own_name_;
  order.fencing_token = leadership_.term();
  order.target_id = target->entry.id;
  Answer answer = co_await SendAttempt(target, order);
  if (!answer) {
    answer = co_await RetryOrder(target, order);
  }
  TrackerOf(*target).OnOrder(order, answer, clock_.Now());
  co_return answer;
}

boost::asio::awaitable<OrderDispatcher::Answer> OrderDispatcher::SendAttempt(
    TargetPtr target,
    platform::Order order) {
  auto call =
      http_.Prepare(target->entry.address, platform::EncodeOrder(order),
                    clock_.Now() + kAnswerTimeout, ConnectionChoice::kFresh);
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

// Retries an order that was not answered. Each attempt names the same count of
// accepted orders, so the target executes at most one of them.
boost::asio::awaitable<OrderDispatcher::Answer> OrderDispatcher::RetryOrder(
    TargetPtr target,
    platform::Order order) {
  for (int i = 0; i < kOrderRetries; ++i) {
    co_await Pause(kRetryDelay);
    if (!leadership_.MaySendOrders(boot_clock_.Now()) ||
        !target->AcceptsRequests(clock_.Now())) {
      break;
    }
    const Answer answer = co_await SendAttempt(target, order);
    if (answer != platform::OrderAnswer::kConflict) {
      if (answer) {
        co_return answer;
      }
      continue;
    }
    // A conflict may mean that an earlier attempt was accepted. After the
    // pause, reports are newer than that attempt: a higher count shows that it
    // was accepted. An unknown count is treated as if it was.
    co_await Pause(kMaxReportAge);
    co_await FetchReport(target);
    const auto accepted_orders = TrackerOf(*target).accepted_orders();
    const bool advanced =
        !accepted_orders || *accepted_orders > order.expected_orders;
    TrackerOf(*target).ResetAcceptedOrders();
    co_return advanced ? platform::OrderAnswer::kAccepted
                       : platform::OrderAnswer::kConflict;
  }
  co_return std::nullopt;
}

std::vector<EngineView> OrderDispatcher::Views(const Service& service) const {
  std::vector<EngineView> views;
  const Instant now = clock_.Now();
  const std::vector<TargetPtr> usable = registry_.Usable(service.name);
  const double mean_ratio = MeanLongTermRatio(usable);
  for (const TargetPtr& target : usable) {
    EngineView view;
    if (target->speed.reported()) {
      view.speed = mean_ratio / target->speed.LongTermRatio();
    }
    view.id = target->entry.id;
    view.near_models = target->entry.near_models;
    const auto found = tracked_targets_.find(target->entry.id);
    std::set<std::string> models;
    if (found != tracked_targets_.end() &&
        found->second.born_ms == target->entry.born_ms) {
      models = found->second.tracker.HeldModels(target->entry, now);
      view.busy = found->second.tracker.Busy(now);
    } else {
      for (const HeldModel& model : target->entry.models) {
        models.insert(model.name);
      }
    }
    view.busy |= target->notice.Rests(now);
    view.models.assign(models.begin(), models.end());
    views.push_back(std::move(view));
  }
  std::sort(
      views.begin(), views.end(),
      [](const EngineView& a, const EngineView& b) { return a.id < b.id; });
  return views;
}

int OrderDispatcher::AvailableLoads(const EngineSpec& offer) const {
  return load_budget_.Available(offer, clock_.Now());
}

// Waits until the target's entry contains a model, or no longer contains it.
boost::asio::awaitable<bool> OrderDispatcher::WaitForModel(TargetPtr target,
                                                           std::string model,
                                                           bool held,
                                                           Instant deadline) {
  while (clock_.Now() < deadline) {
    if (registry_.Find(target->entry.id) != target || target->leaving ||
        target->evacuated) {
      co_return false;
    }
    if (target->HoldsModel(model) == held) {
      co_return true;
    }
    co_await Pause(kEntryPollInterval);
  }
  co_return false;
}

boost::asio::awaitable<void> OrderDispatcher::ApplyMove(Service service,
                                                        PlacementMove move) {
  const TargetPtr target = registry_.Find(move.engine);
  if (target == nullptr) {
    co_return;
  }
  Micros load_time = 0s;
  for (const ModelSpec& model : service.engine->models) {
    load_time = model.name == move.load ? model.load_time : load_time;
  }
  TrackerOf(*target).BeginChange(
      move.load,
      clock_.Now() + kUnloadTimeout + kLoadTimeoutMargin + load_time * 4);
  if (move.from_store) {
    load_budget_.OnLoadStarted(clock_.Now());
  }
  bool succeeded = true;
  for (const std::string& model : move.unload) {
    platform::Order order;
    order.load = false;
    order.model = model;
    const Answer answer = co_await SendOrder(target, *service.engine, order);
    // kAlreadyDone: the model is not loaded already.
    succeeded = answer == platform::OrderAnswer::kAccepted ||
                answer == platform::OrderAnswer::kAlreadyDone;
    if (succeeded) {
      succeeded = co_await WaitForModel(target, model, false,
                                        clock_.Now() + kUnloadTimeout);
    }
    if (!succeeded) {
      break;
    }
  }
  if (succeeded) {
    platform::Order order;
    order.model = move.load;
    const Answer answer = co_await SendOrder(target, *service.engine, order);
    if (answer == platform::OrderAnswer::kAccepted) {
      co_await WaitForModel(target, move.load, true,
                            clock_.Now() + load_time * 4 + kLoadTimeoutMargin);
    }
  }
  TrackerOf(*target).EndChange();
}

}  // namespace jackdaw::serving
