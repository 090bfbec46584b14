#include "drain/drain_plan.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Longest wait for the platform's list to take the news. Where it is down,
// other instances see it from the peers or from refusals.
constexpr Micros kAnnounceTime = 5s;

}  // namespace

void DrainPlan::Begin(Instant now, const DrainTimes& times) {
  CheckInvariant(step_ == DrainStep::kRunning, "a shutdown begins once");
  times_ = times;
  EnterStep(DrainStep::kLeavingList);
  announce_limit_ = now + kAnnounceTime;
}

void DrainPlan::EnterStep(DrainStep step) {
  CheckInvariant(step > step_, "a shutdown goes forward");
  step_ = step;
}

// The moment that callers are gone counts from when the list took the news.
// @returns whether it has passed
bool DrainPlan::Leave(Instant now,
                      const DrainFacts& facts,
                      std::vector<DrainAction>& actions) {
  if (!announced_ && !facts.announced && now < announce_limit_) {
    actions.push_back(DrainAction::kAnnounce);
    return now >= times_.deadline;
  }
  if (!announced_) {
    announced_ = true;
    callers_gone_ = now + times_.list_lag + times_.keep;
    actions.push_back(DrainAction::kHandOver);
  }
  return now >= std::max(callers_gone_, facts.kept_until) ||
         now >= times_.deadline;
}

std::vector<DrainAction> DrainPlan::Advance(Instant now,
                                            const DrainFacts& facts) {
  std::vector<DrainAction> actions;
  if (step_ == DrainStep::kLeavingList && Leave(now, facts, actions)) {
    EnterStep(DrainStep::kFinishing);
    actions.push_back(DrainAction::kRefuseNew);
  }
  if (step_ == DrainStep::kFinishing && facts.in_flight > 0 &&
      now >= times_.deadline) {
    EnterStep(DrainStep::kEnding);
    step_limit_ = now + times_.end_grace;
    actions.push_back(DrainAction::kEndRequests);
  }
  const bool quiet = facts.in_flight == 0;
  if ((step_ == DrainStep::kFinishing && quiet) ||
      (step_ == DrainStep::kEnding && (quiet || now >= step_limit_))) {
    EnterStep(DrainStep::kFlushing);
    step_limit_ = now + times_.flush_grace;
  }
  if (step_ == DrainStep::kFlushing) {
    if (facts.flushed || now >= step_limit_) {
      EnterStep(DrainStep::kDone);
      actions.push_back(DrainAction::kFinish);
    } else {
      actions.push_back(DrainAction::kFlush);
    }
  }
  return actions;
}

}  // namespace jackdaw
