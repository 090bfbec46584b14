#include "drain/drain_plan.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Longest wait until the platform has stored the announcement in its list of
// instances. If the platform is unavailable, other instances learn of the
// shutdown from their peers or from refusals.
constexpr Micros kAnnounceTimeout = 5s;

}  // namespace

void DrainPlan::Begin(Instant now, const DrainTiming& timing) {
  CheckInvariant(step_ == DrainStep::kRunning,
                 "a shutdown must begin only once");
  timing_ = timing;
  EnterStep(DrainStep::kLeavingList);
  announce_deadline_ = now + kAnnounceTimeout;
}

void DrainPlan::EnterStep(DrainStep step) {
  CheckInvariant(step > step_,
                 "a shutdown must not go back to an earlier step");
  step_ = step;
}

// Announces the shutdown, then waits until callers no longer hold answers that
// name this instance. That time counts from when the announcement was stored or
// timed out.
// @returns whether the step is over
bool DrainPlan::AdvanceLeavingList(Instant now,
                                   const DrainStatus& status,
                                   std::vector<DrainAction>& actions) {
  if (!announced_ && !status.announced && now < announce_deadline_) {
    actions.push_back(DrainAction::kAnnounce);
    return now >= timing_.deadline;
  }
  if (!announced_) {
    announced_ = true;
    entry_answers_expire_at_ = now + timing_.list_lag + timing_.entry_keep_time;
    actions.push_back(DrainAction::kHandOver);
  }
  return now >= std::max(entry_answers_expire_at_, status.entry_cached_until) ||
         now >= timing_.deadline;
}

std::vector<DrainAction> DrainPlan::Advance(Instant now,
                                            const DrainStatus& status) {
  std::vector<DrainAction> actions;
  if (step_ == DrainStep::kLeavingList &&
      AdvanceLeavingList(now, status, actions)) {
    EnterStep(DrainStep::kFinishing);
    actions.push_back(DrainAction::kRefuseNew);
  }
  if (step_ == DrainStep::kFinishing && status.in_flight > 0 &&
      now >= timing_.deadline) {
    EnterStep(DrainStep::kEnding);
    step_deadline_ = now + timing_.end_grace;
    actions.push_back(DrainAction::kEndRequests);
  }
  const bool idle = status.in_flight == 0;
  if ((step_ == DrainStep::kFinishing && idle) ||
      (step_ == DrainStep::kEnding && (idle || now >= step_deadline_))) {
    EnterStep(DrainStep::kFlushing);
    step_deadline_ = now + timing_.flush_grace;
  }
  if (step_ == DrainStep::kFlushing) {
    if (status.flushed || now >= step_deadline_) {
      EnterStep(DrainStep::kDone);
      actions.push_back(DrainAction::kFinish);
    } else {
      actions.push_back(DrainAction::kFlush);
    }
  }
  return actions;
}

}  // namespace jackdaw
