#include "decisions/dispatch.h"

#include "config/model_name.h"
#include "decisions/decisions.h"

namespace jackdaw {

namespace asio = boost::asio;

asio::awaitable<Result<DispatchAnswer>> Decisions::Dispatch(
    DispatchOrder order) {
  auto dispatch = [this, order = std::move(order)]() -> Result<DispatchAnswer> {
    return DispatchHere(order);
  };
  co_return co_await Ask<DispatchAnswer>(duty_, std::move(dispatch));
}

// A request that runs here already goes to the same target, so that requests
// alike bring down one target at most before the first crash is known.
DispatchAnswer Decisions::DispatchHere(const DispatchOrder& order) {
  const Instant now = clock_.Now();
  const DispatchPermit permit = ledger_.Check(now, order.digest);
  if (permit == DispatchPermit::kQuarantined) {
    return {DispatchDenial::kQuarantined,
            {},
            ledger_.Find(now, order.digest)->until};
  }
  if (permit == DispatchPermit::kNeedsClaim && !order.claimed) {
    return {DispatchDenial::kNeedsClaim, {}, {}};
  }
  const ModelName name = SplitModelName(order.model);
  RouteNeed need;
  need.model = name.model;
  need.adapter = name.adapter;
  need.service = order.service;
  need.excluded = order.excluded;
  need.prompt_tokens = order.prompt_tokens;
  need.prefixes = &order.prefixes;
  if (!order.claimed) {
    need.preferred = ledger_.RunningTarget(order.digest);
  }
  const auto target =
      router_.Pick(now, {order.model, order.service, order.excluded,
                         order.claimed ? std::string_view()
                                       : ledger_.RunningTarget(order.digest)});
  if (!target) {
    return {DispatchDenial::kNoTarget, {}, {}};
  }
  if (!Charge(now, order, target->name)) {
    return {DispatchDenial::kRetryBudget, {}, {}};
  }
  DispatchAnswer answer{DispatchDenial::kNone, *target, {}};
  answer.target.priority = PriorityOf(now, order);
  router_.OnDispatched(now, target->name, need);
  ledger_.OnDispatched(order.digest, target->name);
  return answer;
}

// A workspace that uses more than its part of its rate at this instance waits
// behind the others in the engines' own queues.
std::int32_t Decisions::PriorityOf(Instant now, const DispatchOrder& order) {
  const FleetConfigPtr& config = admission_.config();
  if (!config || order.workspace.empty() || order.attempt > 0) {
    return UsagePriority::kWithinRate;
  }
  const std::int64_t rate =
      SettingFor(*config, "rate_tokens_per_s", "workspace/" + order.workspace,
                 ToMillis(now));
  return usage_.OnRequest(now, order.workspace, order.charged_tokens,
                          rate / router_.instances());
}

// Claimed runs are charged nothing: claims allow one at each target.
bool Decisions::Charge(Instant now,
                       const DispatchOrder& order,
                       const std::string& target) {
  if (order.claimed) {
    return true;
  }
  if (order.attempt > 0) {
    return retries_.TryRetry(now, order.workspace, target);
  }
  retries_.OnFirstAttempt(now, order.workspace, target);
  return true;
}

void Decisions::FinishRun(std::string digest, std::string target) {
  duty_.TryPost([this, digest = std::move(digest), target = std::move(target)] {
    ledger_.OnFinished(digest, target);
  });
}

}  // namespace jackdaw
