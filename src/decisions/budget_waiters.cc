#include "decisions/budget_waiters.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/invariant.h"
#include "core/log.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval at which waiting requests are checked.
constexpr auto kPollInterval = std::chrono::milliseconds(10);

}  // namespace

BudgetWaiters::BudgetWaiters(asio::io_context& context,
                             const MonotonicClock& clock,
                             EscrowBudget& budget)
    : context_(context), clock_(clock), budget_(budget), queue_(budget) {}

asio::awaitable<WaitDecision> BudgetWaiters::Wait(std::string workspace,
                                                  std::int64_t tokens,
                                                  Instant deadline,
                                                  std::int64_t limit) {
  WaitDecision decision =
      queue_.Offer(clock_.Now(), workspace, tokens, deadline, limit);
  if (decision.kind != WaitDecision::Kind::kWait) {
    co_return decision;
  }
  Waiter waiter{asio::steady_timer(context_), {}};
  waiter.timer.expires_at(std::chrono::steady_clock::time_point::max());
  waiters_[decision.id] = &waiter;
  Release();
  // The id is 0 until Release has decided on the request.
  while (waiter.decision.id == 0) {
    static_cast<void>(
        co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable)));
  }
  co_return waiter.decision;
}

void BudgetWaiters::Release() {
  try {
    ReleaseReady();
  } catch (const InvariantBreach& breach) {
    Log(LogLevel::kError, "waiting requests not resumed",
        {{"reason", breach.what()}});
  }
  if (auto messages = budget_.TakeMessages(); !messages.empty() && sender_) {
    sender_(std::move(messages));
  }
  if (!queue_.empty() && !polling_) {
    polling_ = true;
    asio::co_spawn(context_, PollWaiters(), asio::detached);
  }
}

void BudgetWaiters::ReleaseReady() {
  for (const WaitDecision& decision : queue_.Release(clock_.Now())) {
    const auto found = waiters_.find(decision.id);
    if (found != waiters_.end()) {
      found->second->decision = decision;
      found->second->timer.cancel();
      waiters_.erase(found);
    }
  }
  budget_.DepositUnusedGrants(clock_.Now());
}

asio::awaitable<void> BudgetWaiters::PollWaiters() {
  asio::steady_timer timer(context_);
  while (!queue_.empty()) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    Release();
  }
  polling_ = false;
}

}  // namespace jackdaw
