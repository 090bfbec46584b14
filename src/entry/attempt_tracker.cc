#include "entry/attempt_tracker.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "entry/load_wait.h"
#include "retry/retry_rule.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval between two tries to claim the run of a suspect request, which may
// run only while no other suspect does at the same target.
constexpr auto kClaimRetryInterval = std::chrono::milliseconds(250);
// Time after the request's deadline at which its claim expires.
constexpr Micros kClaimGrace = 5s;
// Maximum number of backoffs of one request whose targets have all failed, and
// the length of each.
constexpr int kMaxBackoffs = 8;
constexpr auto kBackoffTime = std::chrono::milliseconds(200);
// Retry-After given to the caller when no target or no table service is
// available.
constexpr Micros kRetryAfter = 1s;

}  // namespace

AttemptTracker::AttemptTracker(InstanceContext& context, AttemptSubject subject)
    : context_(context), subject_(std::move(subject)) {}

DispatchRequest AttemptTracker::CreateDispatchOrder() const {
  DispatchRequest order;
  order.workspace = subject_.workspace;
  order.model = subject_.model;
  order.service = subject_.service;
  order.digest = subject_.digest;
  order.excluded = tried_targets_;
  order.prompt_tokens = subject_.prompt_tokens;
  order.charged_tokens = subject_.charged_tokens;
  order.prefixes = subject_.prefixes;
  order.attempt = attempts_;
  return order;
}

void AttemptTracker::SetRefusal(RefusalKind kind,
                                std::string reason,
                                Instant retry_at) {
  refusal_ = {kind, any_bytes_sent_ ? Ran::kUnknown : Ran::kNo,
              std::move(reason), retry_at};
}

// Without the fleet's list of suspect requests, the instance might dispatch one
// that is known to crash targets.
asio::awaitable<bool> AttemptTracker::EnsureQuarantineRead() {
  if (context_.crashes.ready()) {
    co_return true;
  }
  Result<bool> ready = co_await context_.crashes.EnsureReady();
  if (!ready) {
    SetRefusal(RefusalKind::kNotReady,
               "quarantined requests not read yet: " + ready.error().Line(),
               context_.clock.Now() + kRetryAfter);
  }
  co_return ready.has_value();
}

asio::awaitable<std::optional<PickedTarget>> AttemptTracker::NextTarget() {
  const bool ready = co_await EnsureQuarantineRead();
  if (!ready) {
    co_return std::nullopt;
  }
  if (attempts_ > 0) {
    const FailedAttempt failed{subject_.idempotent, last_bytes_sent_, attempts_,
                               subject_.deadline};
    if (CheckRetry(context_.clock.Now(), failed) != RetryDenial::kNone) {
      co_return std::nullopt;
    }
  }
  for (;;) {
    const Instant asked_at = context_.clock.Now();
    Result<DispatchResult> answer = co_await DispatchOrWaitForLoad(
        context_, CreateDispatchOrder(), subject_.deadline, load_expected_at_);
    wait_time_ += context_.clock.Now() - asked_at;
    if (!answer) {
      SetRefusal(RefusalKind::kOverloaded, answer.error().message,
                 context_.clock.Now() + kRetryAfter);
      co_return std::nullopt;
    }
    const DispatchResult& dispatch_answer = answer.value();
    if (dispatch_answer.denial == DispatchDenial::kNone) {
      co_return BeginAttempt(dispatch_answer.target, false);
    }
    const bool retry_after_backoff = co_await BackOff(dispatch_answer.denial);
    if (retry_after_backoff) {
      continue;
    }
    if (dispatch_answer.denial != DispatchDenial::kNeedsClaim) {
      SetDispatchRefusal(dispatch_answer.denial, dispatch_answer.until);
      co_return std::nullopt;
    }
    Result<SuspectClaimResult> claim = co_await context_.crashes.Claim(
        CreateDispatchOrder(), subject_.request_id,
        subject_.deadline + kClaimGrace);
    if (claim && claim.value().denial == ClaimDenial::kNone) {
      co_return BeginAttempt(claim.value().target, true);
    }
    const ClaimDenial denial =
        claim ? claim.value().denial : ClaimDenial::kStoreDown;
    const Instant next_try = context_.clock.Now() + kClaimRetryInterval;
    if (denial != ClaimDenial::kBusy ||
        next_try >= subject_.first_byte_deadline) {
      SetClaimRefusal(denial, claim ? claim.value().until : Instant{});
      co_return std::nullopt;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(kClaimRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Once every target has failed this request, waits and then allows all of them
// again: a failure may have affected only the connection. Returns false if
// another backoff is not allowed.
asio::awaitable<bool> AttemptTracker::BackOff(DispatchDenial denial) {
  const Instant until = context_.clock.Now() + kBackoffTime;
  if (denial != DispatchDenial::kNoTarget || attempts_ == 0 ||
      backoffs_ >= kMaxBackoffs || until >= subject_.deadline) {
    co_return false;
  }
  ++backoffs_;
  tried_targets_.clear();
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(kBackoffTime);
  co_await timer.async_wait(asio::use_awaitable);
  co_return true;
}

void AttemptTracker::ResetAfterProgress(Instant deadline) {
  attempts_ = 1;
  backoffs_ = 0;
  tried_targets_.clear();
  subject_.deadline = deadline;
  subject_.first_byte_deadline = deadline;
}

std::optional<PickedTarget> AttemptTracker::BeginAttempt(
    const PickedTarget& target,
    bool claimed) {
  current_target_ = target;
  current_claimed_ = claimed;
  context_.events.Add(attempts_ == 0 ? EventKind::kRequestDispatched
                                     : EventKind::kRequestRetried,
                      subject_.request_id, subject_.workspace, target.name,
                      claimed ? "alone" : "");
  if (attempts_ > 0) {
    context_.metrics.CountRetry();
  }
  ++attempts_;
  return target;
}

// After a failed attempt, keeps the refusal set by RecordFailure unless the
// request is now quarantined for crashing targets.
void AttemptTracker::SetDispatchRefusal(DispatchDenial denial, Instant until) {
  const Instant soon = context_.clock.Now() + kRetryAfter;
  if (denial == DispatchDenial::kQuarantined) {
    SetRefusal(RefusalKind::kQuarantined,
               "two targets crashed while this request ran", until);
  } else if (attempts_ == 0) {
    SetRefusal(RefusalKind::kNoTarget,
               subject_.service.empty()
                   ? "no target can serve model '" + subject_.model + "'"
                   : "no target of service '" + subject_.service + "' is up",
               std::max(soon, load_expected_at_));
  } else if (denial == DispatchDenial::kRetryBudget) {
    refusal_.reason += "; the retry budget is spent";
  }
}

void AttemptTracker::SetClaimRefusal(ClaimDenial denial, Instant until) {
  const Instant soon = context_.clock.Now() + kRetryAfter;
  const std::string known = "a target crashed while this request ran; ";
  switch (denial) {
    case ClaimDenial::kQuarantined:
      SetDispatchRefusal(DispatchDenial::kQuarantined, until);
      return;
    case ClaimDenial::kStoreDown:
      SetRefusal(RefusalKind::kStoreUnavailable,
                 known + "whether it may run again cannot be stored", soon);
      return;
    case ClaimDenial::kNone:
    case ClaimDenial::kBusy:
    case ClaimDenial::kPeersUnconfirmed:
    case ClaimDenial::kNoTarget:
    case ClaimDenial::kRetryBudget:
      break;
  }
  SetRefusal(RefusalKind::kNoTarget,
             known + (denial == ClaimDenial::kPeersUnconfirmed
                          ? "not every instance says that it does not run it"
                          : "no target is free to run it alone"),
             soon);
}

asio::awaitable<void> AttemptTracker::RecordFailure(Error error,
                                                    bool bytes_sent) {
  any_bytes_sent_ = any_bytes_sent_ || bytes_sent;
  last_bytes_sent_ = bytes_sent;
  const bool unknown = bytes_sent && !subject_.idempotent;
  SetRefusal(
      unknown ? RefusalKind::kOutcomeUnknown : RefusalKind::kTargetFailed,
      error.Line(), unknown ? Instant{} : context_.clock.Now() + kRetryAfter);
  tried_targets_.push_back(current_target_.name);
  context_.decisions.Finish(current_target_.name, true);
  if (!bytes_sent || error.kind == ErrorKind::kTimeout) {
    co_await RecordEnd(false);
    co_return;
  }
  BrokenAttempt broken{subject_.request_id, subject_.digest, current_target_,
                       current_claimed_};
  Result<CrashVerdict> verdict =
      co_await context_.crashes.OnConnectionBroken(std::move(broken));
  if (!current_claimed_) {
    context_.decisions.FinishDigest(subject_.digest, current_target_.name);
  }
  if (verdict && verdict.value() != CrashVerdict::kNotCrashed) {
    const bool quarantined = verdict.value() == CrashVerdict::kQuarantined;
    context_.events.Add(EventKind::kQuarantined, subject_.request_id,
                        subject_.workspace, current_target_.name,
                        quarantined ? "quarantined" : "suspect");
  }
}

asio::awaitable<void> AttemptTracker::RecordEnd(bool whole) {
  if (!current_claimed_) {
    context_.decisions.FinishDigest(subject_.digest, current_target_.name);
    co_return;
  }
  static_cast<void>(co_await context_.crashes.Release(
      subject_.request_id, subject_.digest, current_target_.name, whole));
}

}  // namespace jackdaw
