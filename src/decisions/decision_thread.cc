#include "decisions/decision_thread.h"

#include "core/log.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Capacity of the ring: tasks that may wait for the thread.
constexpr std::size_t kRingTasks = 8192;

}  // namespace

DecisionThread::DecisionThread(const MonotonicClock& clock,
                               std::string name,
                               std::uint64_t incarnation,
                               RouterOptions router_options)
    : clock_(clock),
      thread_("decisions", kRingTasks),
      admission_(EscrowBudget(std::move(name), incarnation)),
      waiters_(thread_.context(), clock, admission_.budget()),
      router_(std::move(router_options)) {}

asio::awaitable<Result<AdmitResult>> DecisionThread::Admit(RequestInfo info) {
  auto admit = [this, info = std::move(info)]() mutable {
    return AdmitOnThread(std::move(info));
  };
  co_return co_await AskAsync<AdmitResult>(thread_, std::move(admit));
}

// Checks everything but the budget, then waits for the budget where it will
// cover the request in time. The wait does not count against the time for the
// first byte.
asio::awaitable<Result<AdmitResult>> DecisionThread::AdmitOnThread(
    RequestInfo info) {
  const Instant arrived = clock_.Now();
  AdmitResult checked = admission_.Check(arrived, info);
  auto* admitted = std::get_if<Admitted>(&checked);
  if (admitted == nullptr || admitted->workspace.empty()) {
    co_return checked;
  }
  const std::int64_t limit =
      SettingFor(*admission_.config(), "queue_requests",
                 "workspace/" + admitted->workspace, ToMillis(arrived));
  const WaitDecision decision = co_await waiters_.Wait(
      admitted->workspace, admitted->charged_tokens,
      std::min(admitted->deadline, admitted->first_byte_deadline), limit);
  if (decision.kind != WaitDecision::Kind::kRun) {
    co_return AdmitResult(
        admission_.OverBudgetRefusal(*admitted, decision.retry_at));
  }
  admitted->first_byte_deadline += clock_.Now() - arrived;
  co_return checked;
}

void DecisionThread::Finish(std::string target, bool failed) {
  thread_.TryPost([this, target = std::move(target), failed] {
    router_.OnFinished(target);
    if (failed) {
      router_.OnFailure(clock_.Now(), target);
    }
  });
}

void DecisionThread::Refund(std::string workspace, std::int64_t tokens) {
  thread_.TryPost([this, workspace = std::move(workspace), tokens] {
    admission_.Refund(clock_.Now(), workspace, tokens);
    waiters_.Release();
  });
}

bool DecisionThread::OnConfig(FleetConfigPtr config) {
  return thread_.TryPost([this, config = std::move(config)]() mutable {
    try {
      router_.OnConfig(clock_.Now(), *config);
      retry_budget_.OnConfig(*config);
      admission_.OnConfig(clock_.Now(), std::move(config));
    } catch (const InvariantBreach& breach) {
      Log(LogLevel::kError, "configuration not applied",
          {{"reason", breach.what()}});
    }
  });
}

void DecisionThread::OnInstances(std::int64_t instances) {
  thread_.TryPost([this, instances] { router_.OnInstances(instances); });
}

void DecisionThread::OnReport(std::string target, TargetReport report) {
  thread_.TryPost(
      [this, target = std::move(target), report = std::move(report)] {
        router_.OnReport(clock_.Now(), target, report);
      });
}

void DecisionThread::OnReportFailure(std::string target) {
  thread_.TryPost([this, target = std::move(target)] {
    router_.OnFailure(clock_.Now(), target);
  });
}

}  // namespace jackdaw
