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
#include "quarantine/crash_ledger.h"
#include "retry/retry_budget.h"
#include "routing/router.h"

namespace jackdaw {

/// The thread that decides: it owns admission and routing, and answers the
/// other threads through its ring.
class DecisionThread {
 public:
  /// @param name name of the instance @param incarnation its incarnation
  /// @param routing failure domain of this instance, and seed of its choices
  DecisionThread(const MonotonicClock& clock,
                 std::string name,
                 std::uint64_t incarnation,
                 RouterOptions router_options = {});

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }
  /// Ends what was suspended on the stopped thread.
  void EndCoroutines() { thread_.EndCoroutines(); }

  boost::asio::awaitable<Result<AdmitResult>> Admit(RequestInfo info);

  /// Picks a target for an attempt where quarantine and retry budget allow it,
  /// and counts the dispatch.
  boost::asio::awaitable<Result<DispatchResult>> Dispatch(
      DispatchRequest request);
  /// The attempt ended: its digest no longer runs at the target.
  void FinishDigest(std::string digest, std::string target);
  /// Runs `use(ledger, now)` on the thread for decisions.
  template <typename T, typename F>
  boost::asio::awaitable<Result<T>> AccessQuarantine(F use) {
    return Ask<T>(thread_, [this, use = std::move(use)]() mutable -> Result<T> {
      return use(quarantine_, clock_.Now());
    });
  }

  /// The request left the target. @param failed whether the target failed
  void Finish(std::string target, bool failed);
  /// Gives back what a request was charged and did not use.
  void Refund(std::string workspace, std::int64_t tokens);
  /// Where messages about budgets go; before Start only.
  void SetBudgetMessageSender(BudgetWaiters::Sender sender) {
    waiters_.SetSender(std::move(sender));
  }
  /// Runs `act` on the budgets, on the thread that decides, and lets waiting
  /// requests go on. @param act called with the budgets and the present moment
  template <typename T, typename F>
  boost::asio::awaitable<Result<T>> AccessBudgets(F act) {
    auto run = [this, act = std::move(act)]() mutable -> Result<T> {
      T value = act(admission_.budget(), clock_.Now());
      waiters_.Release();
      return value;
    };
    return Ask<T>(thread_, std::move(run));
  }
  /// Puts a configuration in force. @returns false when the ring is full
  bool OnConfig(FleetConfigPtr config);
  /// Number of instances that route to the same targets.
  void OnInstances(std::int64_t instances);
  void OnReport(std::string target, TargetReport report);
  void OnReportFailure(std::string target);

 private:
  boost::asio::awaitable<Result<AdmitResult>> AdmitOnThread(RequestInfo info);
  DispatchResult DispatchOnThread(const DispatchRequest& request);
  std::int32_t EnginePriority(Instant now, const DispatchRequest& request);
  bool ChargeRetryBudget(Instant now,
                         const DispatchRequest& request,
                         const std::string& target);

  const MonotonicClock& clock_;
  Duty thread_;
  Admission<EscrowBudget> admission_;
  BudgetWaiters waiters_;
  Router router_;
  RetryBudget retry_budget_;
  CrashLedger quarantine_;
  UsagePriority usage_priority_;
};

}  // namespace jackdaw
