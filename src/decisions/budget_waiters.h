#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "budget/escrow_budget.h"
#include "budget/wait_queue.h"
#include "core/clock.h"

namespace jackdaw {

/// Requests that wait for their workspace's budget, on the decision thread.
/// Connects the pure WaitQueue to timers and sends the budget messages that
/// its decisions cause.
class BudgetWaiters {
 public:
  using Sender = std::function<void(std::vector<BudgetMessage>)>;

  /// @param context event loop of the decision thread
  BudgetWaiters(boost::asio::io_context& context,
                const MonotonicClock& clock,
                EscrowBudget& budget);

  /// Sets the function that sends budget messages. Call before the thread
  /// starts only.
  void SetSender(Sender sender) { sender_ = std::move(sender); }

  /// Waits until a request may run or is refused.
  /// @param tokens tokens to spend @param deadline latest time to run
  /// @param limit maximum number of waiting requests of the workspace
  boost::asio::awaitable<WaitDecision> Wait(std::string workspace,
                                            std::int64_t tokens,
                                            Instant deadline,
                                            std::int64_t limit);

  /// Resumes the requests whose tokens are available or whose deadline has
  /// passed, and sends the pending budget messages.
  void Release();

 private:
  struct Waiter {
    boost::asio::steady_timer timer;
    WaitDecision decision;
  };

  boost::asio::awaitable<void> PollWaiters();
  void ReleaseReady();

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  EscrowBudget& budget_;
  WaitQueue<EscrowBudget> queue_;
  Sender sender_;
  std::map<std::uint64_t, Waiter*> waiters_;
  bool polling_ = false;
};

}  // namespace jackdaw
