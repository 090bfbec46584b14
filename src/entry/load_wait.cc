#include "entry/load_wait.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "config/model_name.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval between two dispatch tries while a model is being loaded.
constexpr auto kDispatchRetryInterval = std::chrono::milliseconds(50);

// Counts a caller as waiting for a model for the lifetime of the guard.
class WaitingCallerGuard {
 public:
  WaitingCallerGuard(DemandTracker& tracker, std::string model)
      : tracker_(tracker), model_(std::move(model)) {
    tracker_.OnWaitingChanged(model_, 1);
  }
  ~WaitingCallerGuard() { tracker_.OnWaitingChanged(model_, -1); }
  WaitingCallerGuard(const WaitingCallerGuard&) = delete;
  WaitingCallerGuard& operator=(const WaitingCallerGuard&) = delete;

 private:
  DemandTracker& tracker_;
  std::string model_;
};

}  // namespace

asio::awaitable<Result<DispatchResult>> DispatchOrWaitForLoad(
    InstanceContext& context,
    DispatchRequest order,
    Instant deadline,
    Instant& retry_at) {
  Result<DispatchResult> answer = co_await context.decisions.Dispatch(order);
  const bool may_wait = order.attempt == 0 && !order.model.empty();
  if (!answer || answer.value().denial != DispatchDenial::kNoTarget ||
      !may_wait) {
    co_return answer;
  }
  const std::string model(SplitModelName(order.model).model);
  const WaitingCallerGuard waiting(context.demand, model);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    const Instant now = context.clock.Now();
    const Instant expected = context.demand.ExpectedReadyAt(model, now);
    if (now >= deadline || expected > deadline) {
      retry_at = expected;
      co_return answer;
    }
    timer.expires_after(kDispatchRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
    answer = co_await context.decisions.Dispatch(order);
    if (!answer || answer.value().denial != DispatchDenial::kNoTarget) {
      co_return answer;
    }
  }
}

}  // namespace jackdaw
