#include "entry/load_wait.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "config/model_name.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two looks at whether the model has become resident.
constexpr auto kPollTime = std::chrono::milliseconds(50);

// Counts a caller as waiting for as long as it lives.
class Waiting {
 public:
  Waiting(DemandBoard& board, std::string model)
      : board_(board), model_(std::move(model)) {
    board_.OnWaiting(model_, 1);
  }
  ~Waiting() { board_.OnWaiting(model_, -1); }
  Waiting(const Waiting&) = delete;
  Waiting& operator=(const Waiting&) = delete;

 private:
  DemandBoard& board_;
  std::string model_;
};

}  // namespace

asio::awaitable<Result<DispatchResult>> DispatchOrWait(InstanceContext& context,
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
  const Waiting waiting(context.demand, model);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    const Instant now = context.clock.Now();
    const Instant expected = context.demand.ExpectedAt(model, now);
    if (now >= deadline || expected > deadline) {
      retry_at = expected;
      co_return answer;
    }
    timer.expires_after(kPollTime);
    co_await timer.async_wait(asio::use_awaitable);
    answer = co_await context.decisions.Dispatch(order);
    if (!answer || answer.value().denial != DispatchDenial::kNoTarget) {
      co_return answer;
    }
  }
}

}  // namespace jackdaw
