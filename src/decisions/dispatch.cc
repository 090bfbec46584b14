#include "decisions/dispatch.h"

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
  const RunPermit permit = ledger_.Check(now, order.digest);
  if (permit == RunPermit::kQuarantined) {
    return {DispatchDenial::kQuarantined,
            {},
            ledger_.Find(now, order.digest)->until};
  }
  if (permit == RunPermit::kNeedsClaim && !order.claimed) {
    return {DispatchDenial::kNeedsClaim, {}, {}};
  }
  const auto target = router_.Pick(
      now,
      {order.model, order.service, order.excluded,
       order.claimed ? std::string_view() : ledger_.RunningAt(order.digest)});
  if (!target) {
    return {DispatchDenial::kNoTarget, {}, {}};
  }
  if (!Charge(now, order, target->name)) {
    return {DispatchDenial::kRetryBudget, {}, {}};
  }
  router_.OnDispatched(target->name);
  ledger_.OnDispatched(order.digest, target->name);
  return {DispatchDenial::kNone, *target, {}};
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
