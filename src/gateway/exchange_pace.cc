// Pace of a request: whether its engine gets it now, later or not at all.
#include <algorithm>

#include "gateway/exchange.h"
#include "gateway/pace.h"

namespace jackdaw::serving {
namespace {

// Objective and priority from which on a request lets others go first.
constexpr Micros kPatientObjective = 2000ms;
constexpr int kPatientPriority = 2;

}  // namespace

void Exchange::TraceChoice(const TargetPick& pick, Instant now) {
  const Target& target = *pick.target;
  std::string detail = target.entry.id + " of ";
  detail += std::to_string(pick.candidates);
  detail += " expected_ms=";
  detail += std::to_string(static_cast<int>(pick.expected_ms));
  detail += " load=" + std::to_string(target.LikelyLoad(now));
  detail += " load_age_ms=";
  detail += target.has_load ? std::to_string((now - target.told_at) / 1ms)
                            : std::string("none");
  trace_.Add(now, "chosen", detail);
}

// Holds or refuses a request that would crowd its engine.
// @returns false where it may go now
bool Exchange::PaceTo(const TargetPick& pick) {
  if (!service_->engine || call_.model.empty() || head_sent_) {
    return false;
  }
  const Instant now = ports_.clock.Now();
  PaceInput input;
  input.now = now;
  input.reading_until = pick.target->reading_until;
  input.own_reading = TargetBoard::ReadingTime(*pick.target, call_, now);
  input.on_time_until =
      std::min(trace_.began() + route_->latency_objective, deadline_);
  input.patient = route_->latency_objective >= kPatientObjective &&
                  route_->priority >= kPatientPriority;
  input.beyond_places =
      std::max(0, pick.target->LikelyLoad(now) + 1 - service_->engine->slots);
  input.place_time = Micros(static_cast<std::int64_t>(
      pick.target->run_seconds * 1e6 / std::max(1, service_->engine->slots)));
  const PaceDecision pace = Pace(input);
  switch (pace.step) {
    case PaceStep::kSend:
      return false;
    case PaceStep::kSendLater:
      trace_.Add(now, "held", std::to_string((pace.at - now) / 1ms) + "ms");
      SendTo(pick.target, pace.at);
      return true;
    case PaceStep::kWait:
      if (!waiting_) {
        trace_.Add(now, "lets_others_first");
      }
      SetWaiting(true);
      ports_.deadlines.Set(stall_handle_, pace.at, [this] {
        const auto self = shared_from_this();
        Dispatch();
      });
      return true;
    case PaceStep::kRefuse:
      break;
  }
  if (may_have_run_ || sends_ > 0) {
    return false;
  }
  trace_.Add(now, "crowded",
             "reading_ms=" + std::to_string((input.reading_until - now) / 1ms) +
                 " beyond=" + std::to_string(input.beyond_places));
  Refuse({503, "targets_crowded", "come back when the engines have caught up",
          pace.at});
  return true;
}

}  // namespace jackdaw::serving
