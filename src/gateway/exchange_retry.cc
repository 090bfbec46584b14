// End of an attempt to send a request, and what follows: a retry, another
// target, or the end of the request.
#include <algorithm>

#include "gateway/exchange.h"

namespace jackdaw::serving {
namespace {

// Time without bytes after which a repeatable request moves to another target.
// A sound target may be silent for a second or so. A stream that the caller has
// in part is cut if no other target continues it, so it waits longer.
constexpr Micros kStreamStallTime = 2s;
constexpr Micros kPlainStallTime = 600ms;
// Time after a crash in which the fleet learns what may have caused it.
constexpr Micros kCrashAssessmentTime = 1s;
// Highest cost of another target at which a stalled request is retried there.
constexpr double kMaxMoveCostMs = 600;

}  // namespace

// Sets the stall timer if the request may be retried at another target.
void Exchange::ArmStallTimer() {
  if (!route_->Repeatable() || attempts_ >= route_->max_attempts) {
    return;
  }
  const Micros limit =
      route_->kind == RouteKind::kStream ? kStreamStallTime : kPlainStallTime;
  deps_.timers.Set(attempt_timer_, last_progress_at_ + limit,
                   [this] { OnStall(); });
}

void Exchange::OnStall() {
  const auto self = shared_from_this();
  const Instant now = deps_.clock.Now();
  const Micros limit =
      route_->kind == RouteKind::kStream ? kStreamStallTime : kPlainStallTime;
  if (now - last_progress_at_ < limit) {
    ArmStallTimer();
    return;
  }
  silent_targets_.push_back(target_);
  const TargetPick pick = PickTarget(AllTriedTargets());
  if (pick.outcome != PickOutcome::kChosen || pick.cost_ms > kMaxMoveCostMs ||
      reading_paused_ || waits_for_room_ || !TryTakeRetry(true)) {
    silent_targets_.pop_back();
    last_progress_at_ = now;
    ArmStallTimer();
    return;
  }
  trace_.Add(now, "stalled", target_->entry.id);
  may_have_run_ = true;
  EndAttempt(TargetOutcome::kFailed);
  events_.BeginContinuation();
  ++deps_.counters.retries;
  SendTo(pick.target, now);
}

// Takes a retry from the retry budget. @returns false if it must not be sent
bool Exchange::TryTakeRetry(bool may_have_run) {
  const Instant now = deps_.clock.Now();
  if (may_have_run && !route_->Repeatable()) {
    return false;
  }
  if (head_sent_ &&
      !(is_stream_ && route_->resumable && events_.can_continue())) {
    return false;
  }
  if (attempts_ >= route_->max_attempts || deadline_ - now < kMinTimeLeft ||
      response_ended_ || deps_.crashes.BlockedCause(causes_, now) != 0) {
    return false;
  }
  return deps_.retries.TryRetry(service_->name, now);
}

// Sends a request again after its target may have crashed. One whose parts are
// not known to be sound waits until the crash has been assessed, so that it
// does not take the next target along.
void Exchange::RetryAfterBreak() {
  const Instant now = deps_.clock.Now();
  if (!connection_ended_ || deps_.crashes.TrustsParts(causes_, now)) {
    Retry("broken", true);
    return;
  }
  trace_.Add(now, "retry_delayed", "parts not known to be sound");
  deps_.timers.Set(attempt_timer_, now + kCrashAssessmentTime, [this] {
    const auto self = shared_from_this();
    Retry("broken", true);
  });
}

void Exchange::Retry(std::string_view reason, bool may_have_run) {
  trace_.Add(deps_.clock.Now(), "retry", std::string(reason));
  may_have_run_ = may_have_run_ || may_have_run;
  ++deps_.counters.retries;
  events_.BeginContinuation();
  Dispatch();
}

// Records the outcome and closes the connection unless the pool has it back.
void Exchange::EndAttempt(TargetOutcome outcome) {
  deps_.timers.Clear(attempt_timer_);
  if (target_ == nullptr) {
    return;
  }
  const Instant now = deps_.clock.Now();
  const bool complete = parser_ && parser_->is_done() && !parser_->need_eof();
  if (sent_ && !complete) {
    deps_.crashes.OnAttemptFailed({causes_.request, target_, sent_at_, now,
                                   connection_ended_, causes_.parts});
  }
  deps_.targets.OnEnded(*target_, outcome, first_byte_recorded_, sent_at_, now,
                        &sent_request_);
  if (connection_ != nullptr) {
    connection_->Close();
    connection_.reset();
  }
  target_.reset();
  reading_paused_ = false;
  waits_for_room_ = false;
  deps_.timers.Clear(pause_timer_);
}

void Exchange::OnConnectionEnd(ConnectionEnd end) {
  const auto self = shared_from_this();
  deps_.timers.Clear(attempt_timer_);
  const Instant now = deps_.clock.Now();
  if (!sent_) {
    trace_.Add(now, "unreachable", target_->entry.id);
    excluded_targets_.push_back(target_);
    EndAttempt(TargetOutcome::kUnreachable);
    if (target_choices_ < kMaxTargetChoices) {
      Dispatch();
    } else {
      OnNoTarget({});
    }
    return;
  }
  if (head_parsed_ && end == ConnectionEnd::kClosed && parser_->need_eof() &&
      !EndsInsideEvent()) {
    boost::system::error_code failure;
    parser_->put_eof(failure);
    if (!failure && parser_->is_done()) {
      OnResponseProgress();
      return;
    }
  }
  connection_ended_ = end != ConnectionEnd::kTimedOut;
  OnAttemptBroken(end == ConnectionEnd::kClosed ? "closed" : "reset");
}

void Exchange::OnDeadline() {
  const auto self = shared_from_this();
  trace_.Add(deps_.clock.Now(), "deadline");
  if (head_sent_) {
    AbortResponse("deadline");
    return;
  }
  Reject({attempts_ == 0 ? 503 : 504, "deadline", "allow more time",
          std::nullopt});
}

void Exchange::OnCallerDisconnected(std::string_view why) {
  const auto self = shared_from_this();
  if (done_) {
    return;
  }
  trace_.Add(deps_.clock.Now(), "caller_gone");
  ++deps_.counters.abandoned;
  RecordEnd("abandoned", 0, why);
  Close();
}

void Exchange::SetWaiting(bool waiting) {
  if (waiting_ != waiting) {
    waiting_ = waiting;
    waiting ? ++deps_.counters.waiting : --deps_.counters.waiting;
  }
}

void Exchange::Close() {
  done_ = true;
  SetWaiting(false);
  deps_.timers.Clear(deadline_timer_);
  EndAttempt(TargetOutcome::kAbandoned);
}

}  // namespace jackdaw::serving
