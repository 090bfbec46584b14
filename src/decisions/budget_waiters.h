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

/// Requests that wait for their workspace's budget, on the thread that
/// decides: joins the pure queue to timers and to the messages it causes.
class BudgetWaiters {
 public:
  using Sender = std::function<void(std::vector<BudgetMessage>)>;

  /// @param context event loop of the thread that decides
  BudgetWaiters(boost::asio::io_context& context,
                const MonotonicClock& clock,
                EscrowBudget& budget);

  /// Where messages go; before the thread starts only.
  void SetSender(Sender sender) { sender_ = std::move(sender); }

  /// Waits until a request may run or is refused.
  boost::asio::awaitable<WaitDecision> Wait(std::string workspace,
                                            std::int64_t tokens,
                                            Instant deadline,
                                            std::int64_t limit);

  /// Lets the requests go on whose tokens or deadline have come, and sends
  /// what messages there are.
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
