// Pacing of a request: whether it is sent to its engine now, later or not at
// all.
#include <algorithm>

#include "gateway/exchange.h"
#include "gateway/pacing.h"

namespace jackdaw::serving {
namespace {

// A request is deferrable if its route has at least this latency objective and
// at least this priority number (0 is the most urgent).
constexpr Micros kMinDeferrableObjective = 2000ms;
constexpr int kMinDeferrablePriority = 2;

}  // namespace

void Exchange::TraceChoice(const TargetPick& pick, Instant now) {
  const Target& target = *pick.target;
  std::string detail = target.entry.id + " of ";
  detail += std::to_string(pick.candidates);
  detail += " expected_ms=";
  detail += std::to_string(static_cast<int>(pick.cost_ms));
  detail += " load=" + std::to_string(target.EstimatedLoad(now));
  detail += " load_age_ms=";
  detail += target.has_load
                ? std::to_string((now - target.load_reported_at) / 1ms)
                : std::string("none");
  if (target.uses_forecast) {
    const int slots =
        service_->engine ? service_->engine->slots : target.Slots();
    detail += " wait_ms=" +
              std::to_string(target.forecast.WaitForSlot(slots, now) / 1ms);
    // In hundredths, as targets report it.
    detail += " speed=" +
              std::to_string(static_cast<int>(target.speed.Ratio(now) * 100));
  }
  trace_.Add(now, "chosen", detail);
}

// Returns the mean interval at which slots of the engine become free until it
// has one for a request of which `excess` are above the slots, itself included.
Micros Exchange::SlotTime(const Target& target, int excess, Instant now) const {
  const int slots = std::max(1, service_->engine->slots);
  if (target.uses_forecast) {
    return target.forecast.WaitForSlot(slots, now) / std::max(1, excess);
  }
  return Micros(static_cast<std::int64_t>(target.run_seconds * 1e6 / slots));
}

// Delays or rejects a request that would overload its engine. A request that
// was sent before is not rejected.
// @returns false if the caller of this function is to send the request now
bool Exchange::DelayOrReject(const TargetPick& pick) {
  if (!service_->engine || call_.model.empty() || head_sent_) {
    return false;
  }
  const Instant now = deps_.clock.Now();
  PacingInput input;
  input.now = now;
  input.prefill_until = pick.target->prefill_until;
  input.own_prefill = TargetRegistry::PrefillTime(*pick.target, call_, now);
  input.first_byte_deadline =
      std::min(trace_.started_at() + route_->latency_objective, deadline_);
  input.deferrable = route_->latency_objective >= kMinDeferrableObjective &&
                     route_->priority >= kMinDeferrablePriority;
  input.excess_requests = std::max(
      0, pick.target->EstimatedLoad(now) + 1 - service_->engine->slots);
  input.slot_time = SlotTime(*pick.target, input.excess_requests, now);
  const PacingDecision pacing = DecidePacing(input);
  switch (pacing.action) {
    case PacingAction::kSend:
      return false;
    case PacingAction::kSendLater:
      trace_.Add(now, "held", std::to_string((pacing.at - now) / 1ms) + "ms");
      SendTo(pick.target, pacing.at);
      return true;
    case PacingAction::kRecheck:
      if (!waiting_) {
        trace_.Add(now, "lets_others_first");
      }
      SetWaiting(true);
      deps_.timers.Set(attempt_timer_, pacing.at, [this] {
        const auto self = shared_from_this();
        Dispatch();
      });
      return true;
    case PacingAction::kReject:
      break;
  }
  if (may_have_run_ || attempts_ > 0) {
    return false;
  }
  trace_.Add(now, "crowded",
             "reading_ms=" + std::to_string((input.prefill_until - now) / 1ms) +
                 " beyond=" + std::to_string(input.excess_requests));
  Reject({503, "targets_crowded", "come back when the engines have caught up",
          pacing.at});
  return true;
}

}  // namespace jackdaw::serving
