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

/// The thread that decides: it owns admission and routing, and answers the
/// other threads through its ring.
class Decisions {
 public:
  /// @param name name of the instance @param incarnation its incarnation
  /// @param routing failure domain of this instance, and seed of its choices
  Decisions(const MonotonicClock& clock,
            std::string name,
            std::uint64_t incarnation,
            RouterSetup routing = {});

  void Start() { duty_.Start(); }
  void Stop() { duty_.Stop(); }
  /// Ends what was suspended on the stopped thread.
  void EndCoroutines() { duty_.EndCoroutines(); }

  boost::asio::awaitable<Result<AdmitResult>> Admit(RequestInfo info);

  /// Picks a target for an attempt where quarantine and retry budget allow it,
  /// and counts the dispatch.
  boost::asio::awaitable<Result<DispatchAnswer>> Dispatch(DispatchOrder order);
  /// The attempt ended: its digest no longer runs at the target.
  void FinishRun(std::string digest, std::string target);
  /// Runs `use(ledger, now)` on the thread for decisions.
  template <typename T, typename F>
  boost::asio::awaitable<Result<T>> AskLedger(F use) {
    return Ask<T>(duty_, [this, use = std::move(use)]() mutable -> Result<T> {
      return use(ledger_, clock_.Now());
    });
  }

  /// The request left the target. @param failed whether the target failed
  void Finish(std::string target, bool failed);
  /// Gives back what a request was charged and did not use.
  void Refund(std::string workspace, std::int64_t tokens);
  /// Where messages about budgets go; before Start only.
  void ConnectBudgets(BudgetWaiters::Sender sender) {
    waiters_.Connect(std::move(sender));
  }
  /// Runs `act` on the budgets, on the thread that decides, and lets waiting
  /// requests go on. @param act called with the budgets and the present moment
  template <typename T, typename F>
  boost::asio::awaitable<Result<T>> AskBudgets(F act) {
    auto run = [this, act = std::move(act)]() mutable -> Result<T> {
      T value = act(admission_.budget(), clock_.Now());
      waiters_.Release();
      return value;
    };
    return Ask<T>(duty_, std::move(run));
  }
  /// Puts a configuration in force. @returns false when the ring is full
  bool OnConfig(FleetConfigPtr config);
  /// Number of instances that route to the same targets.
  void OnInstances(std::int64_t instances);
  void OnReport(std::string target, TargetReport report);
  void OnReportFailure(std::string target);

 private:
  boost::asio::awaitable<Result<AdmitResult>> AdmitHere(RequestInfo info);
  DispatchAnswer DispatchHere(const DispatchOrder& order);
  std::int32_t PriorityOf(Instant now, const DispatchOrder& order);
  bool Charge(Instant now,
              const DispatchOrder& order,
              const std::string& target);

  const MonotonicClock& clock_;
  Duty duty_;
  Admission<EscrowBudget> admission_;
  BudgetWaiters waiters_;
  Router router_;
  RetryBudget retries_;
  CrashTracker ledger_;
  UsagePriority usage_;
};

}  // namespace jackdaw
