#include "decisions/decisions.h"

#include "core/log.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Requests that may wait for a decision.
constexpr std::size_t kRingTasks = 8192;

}  // namespace

Decisions::Decisions(const MonotonicClock& clock,
                     std::string name,
                     std::uint64_t incarnation,
                     RouterSetup routing)
    : clock_(clock),
      duty_("decisions", kRingTasks),
      admission_(EscrowBudget(std::move(name), incarnation)),
      waiters_(duty_.context(), clock, admission_.budget()),
      router_(std::move(routing)) {}

asio::awaitable<Result<AdmitResult>> Decisions::Admit(RequestInfo info) {
  auto admit = [this, info = std::move(info)]() mutable {
    return AdmitHere(std::move(info));
  };
  co_return co_await AskAsync<AdmitResult>(duty_, std::move(admit));
}

// Decides, and where the budget will do a moment later, waits for it.
asio::awaitable<Result<AdmitResult>> Decisions::AdmitHere(RequestInfo info) {
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
    co_return AdmitResult(admission_.OverBudget(*admitted, decision.retry_at));
  }
  admitted->first_byte_deadline += clock_.Now() - arrived;
  co_return checked;
}

void Decisions::Finish(std::string target, bool failed) {
  duty_.TryPost([this, target = std::move(target), failed] {
    router_.OnFinished(target);
    if (failed) {
      router_.OnFailure(clock_.Now(), target);
    }
  });
}

void Decisions::Refund(std::string workspace, std::int64_t tokens) {
  duty_.TryPost([this, workspace = std::move(workspace), tokens] {
    admission_.Refund(clock_.Now(), workspace, tokens);
    waiters_.Release();
  });
}

bool Decisions::OnConfig(FleetConfigPtr config) {
  return duty_.TryPost([this, config = std::move(config)]() mutable {
    try {
      router_.OnConfig(clock_.Now(), *config);
      retries_.OnConfig(*config);
      admission_.OnConfig(clock_.Now(), std::move(config));
    } catch (const InvariantBreach& breach) {
      Log(LogLevel::kError, "configuration not applied",
          {{"reason", breach.what()}});
    }
  });
}

void Decisions::OnInstances(std::int64_t instances) {
  duty_.TryPost([this, instances] { router_.OnInstances(instances); });
}

void Decisions::OnReport(std::string target, TargetReport report) {
  duty_.TryPost([this, target = std::move(target), report = std::move(report)] {
    router_.OnReport(clock_.Now(), target, report);
  });
}

void Decisions::OnReportFailure(std::string target) {
  duty_.TryPost([this, target = std::move(target)] {
    router_.OnFailure(clock_.Now(), target);
  });
}

}  // namespace jackdaw
