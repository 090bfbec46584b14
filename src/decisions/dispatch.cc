#include "decisions/dispatch.h"

#include "config/model_name.h"
#include "decisions/decision_thread.h"

namespace jackdaw {

namespace asio = boost::asio;

asio::awaitable<Result<DispatchResult>> DecisionThread::Dispatch(
    DispatchRequest request) {
  auto dispatch = [this,
                   request = std::move(request)]() -> Result<DispatchResult> {
    return DispatchOnThread(request);
  };
  co_return co_await Ask<DispatchResult>(thread_, std::move(dispatch));
}

// Prefers the target at which this instance already runs a request with the
// same digest, so that identical requests of this instance crash at most one
// target before the first crash is known.
DispatchResult DecisionThread::DispatchOnThread(
    const DispatchRequest& request) {
  const Instant now = clock_.Now();
  const DispatchPermit permit = crash_records_.Check(now, request.digest);
  if (permit == DispatchPermit::kQuarantined) {
    return {DispatchDenial::kQuarantined,
            {},
            crash_records_.Find(now, request.digest)->until};
  }
  if (permit == DispatchPermit::kNeedsClaim && !request.claimed) {
    return {DispatchDenial::kNeedsClaim, {}, {}};
  }
  const ModelName name = SplitModelName(request.model);
  TargetRequirements requirements;
  requirements.model = name.model;
  requirements.adapter = name.adapter;
  requirements.service = request.service;
  requirements.excluded = request.excluded;
  requirements.prompt_tokens = request.prompt_tokens;
  requirements.prefixes = &request.prefixes;
  if (!request.claimed) {
    requirements.preferred = crash_records_.RunningTarget(request.digest);
  }
  const auto target = router_.Pick(
      now, {request.model, request.service, request.excluded,
            request.claimed ? std::string_view()
                            : crash_records_.RunningTarget(request.digest)});
  if (!target) {
    return {DispatchDenial::kNoTarget, {}, {}};
  }
  if (!UpdateRetryBudget(now, request, target->name)) {
    return {DispatchDenial::kRetryBudget, {}, {}};
  }
  DispatchResult result{DispatchDenial::kNone, *target, {}};
  result.target.priority = EnginePriority(now, request);
  router_.OnDispatched(now, target->name, requirements);
  crash_records_.OnDispatched(request.digest, target->name);
  return result;
}

// Returns the priority for the engine's own queue, where a workspace that uses
// much more than this instance's part of its rate waits behind others. Retries
// are not counted again and get the priority of a workspace within its rate.
std::int32_t DecisionThread::EnginePriority(Instant now,
                                            const DispatchRequest& request) {
  const FleetConfigPtr& config = admission_.config();
  if (!config || request.workspace.empty() || request.attempt > 0) {
    return UsagePriority::kWithinRate;
  }
  const std::int64_t rate =
      SettingFor(*config, "rate_tokens_per_s", "workspace/" + request.workspace,
                 ToMillis(now));
  return usage_priority_.OnRequest(now, request.workspace,
                                   request.charged_tokens,
                                   rate / router_.instances());
}

// A first attempt adds to the retry budget and a retry spends from it. Attempts
// under a claim do neither, because claims already limit them to one per
// target.
// @returns false if there is no budget for the retry
bool DecisionThread::UpdateRetryBudget(Instant now,
                                       const DispatchRequest& request,
                                       const std::string& target) {
  if (request.claimed) {
    return true;
  }
  if (request.attempt > 0) {
    return retry_budget_.TryRetry(now, request.workspace, target);
  }
  retry_budget_.OnFirstAttempt(now, request.workspace, target);
  return true;
}

void DecisionThread::FinishDigest(std::string digest, std::string target) {
  thread_.TryPost(
      [this, digest = std::move(digest), target = std::move(target)] {
        crash_records_.OnFinished(digest, target);
      });
}

}  // namespace jackdaw
