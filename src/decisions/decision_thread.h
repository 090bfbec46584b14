#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/duty.h"
#include "decisions/admission.h"
#include "decisions/budget_waiters.h"
#include "decisions/dispatch.h"
#include "fairness/usage_priority.h"
#include "quarantine/crash_tracker.h"
#include "retry/retry_budget.h"
#include "routing/router.h"

namespace jackdaw {

/// Thread that admits requests and picks targets for them. It owns admission,
/// routing, retry budgets and crash records; other threads post tasks to its
/// ring and await the results.
class DecisionThread {
 public:
  /// @param name name of the instance @param incarnation its incarnation
  /// @param router_options options of the router: failure domain of this
  /// instance, and seed of its random choices
  DecisionThread(const MonotonicClock& clock,
                 std::string name,
                 std::uint64_t incarnation,
                 RouterOptions router_options = {});

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }
  /// Destroys the coroutines that are suspended on the thread, after Stop.
  void EndCoroutines() { thread_.EndCoroutines(); }

  /// Decides whether a request may run. Waits for its workspace's budget where
  /// the tokens will be available before the request's deadlines.
  boost::asio::awaitable<Result<AdmitResult>> Admit(RequestInfo info);

  /// Picks a target for an attempt if quarantine and retry budget allow one,
  /// and counts the dispatch.
  boost::asio::awaitable<Result<DispatchResult>> Dispatch(
      DispatchRequest request);
  /// Notes in the crash records that the request with this digest no longer
  /// runs at the target.
  void FinishDigest(std::string digest, std::string target);
  /// Runs `use(records, now)` on this thread, with the crash records.
  /// @returns what `use` returned, or kOverloaded when the ring is full
  template <typename T, typename F>
  boost::asio::awaitable<Result<T>> UseCrashes(F use) {
    return Ask<T>(thread_, [this, use = std::move(use)]() mutable -> Result<T> {
      return use(crash_records_, clock_.Now());
    });
  }

  /// Records that a request is no longer in flight at the target.
  /// @param failed whether the target failed
  void Finish(std::string target, bool failed);
  /// Credits the workspace with tokens that a request was charged and did not
  /// use.
  void Refund(std::string workspace, std::int64_t tokens);
  /// Sets the function that sends budget messages to peers. Call before Start
  /// only.
  void SetBudgetMessageSender(BudgetWaiters::Sender sender) {
    waiters_.SetSender(std::move(sender));
  }
  /// Runs `act(budget, now)` on this thread, then resumes the waiting requests
  /// that the budget covers.
  /// @returns what `act` returned, or kOverloaded when the ring is full
  template <typename T, typename F>
  boost::asio::awaitable<Result<T>> UseBudgets(F act) {
    auto run = [this, act = std::move(act)]() mutable -> Result<T> {
      T value = act(admission_.budget(), clock_.Now());
      waiters_.Release();
      return value;
    };
    return Ask<T>(thread_, std::move(run));
  }
  /// Applies a configuration. @returns false when the ring is full
  bool OnConfig(FleetConfigPtr config);
  /// Sets the number of instances that route to the same targets.
  void OnInstances(std::int64_t instances);
  void OnReport(std::string target, TargetReport report);
  void OnReportFailure(std::string target);

 private:
  boost::asio::awaitable<Result<AdmitResult>> AdmitOnThread(RequestInfo info);
  DispatchResult DispatchOnThread(const DispatchRequest& request);
  std::int32_t EnginePriority(Instant now, const DispatchRequest& request);
  bool UpdateRetryBudget(Instant now,
                         const DispatchRequest& request,
                         const std::string& target);

  const MonotonicClock& clock_;
  Duty thread_;
  Admission<EscrowBudget> admission_;
  BudgetWaiters waiters_;
  Router router_;
  RetryBudget retry_budget_;
  CrashTracker crash_records_;
  UsagePriority usage_priority_;
};

}  // namespace jackdaw
