#include "entry/load_wait.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

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

asio::awaitable<Result<std::optional<PickedTarget>>> PickOrWait(
    InstanceContext& context,
    std::string model,
    std::vector<std::string> tried,
    Instant deadline,
    Instant& retry_at) {
  Result<std::optional<PickedTarget>> picked =
      co_await context.decisions.Pick(model, {}, tried);
  if (!picked || picked.value() || !tried.empty()) {
    co_return picked;
  }
  const Waiting waiting(context.demand, model);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    const Instant now = context.clock.Now();
    const Instant expected = context.demand.ExpectedAt(model, now);
    if (now >= deadline || expected > deadline) {
      retry_at = expected;
      co_return picked;
    }
    timer.expires_after(kPollTime);
    co_await timer.async_wait(asio::use_awaitable);
    picked = co_await context.decisions.Pick(model, {}, tried);
    if (!picked || picked.value()) {
      co_return picked;
    }
  }
}

}  // namespace jackdaw
