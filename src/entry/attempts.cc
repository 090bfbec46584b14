#include "entry/attempts.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "entry/load_wait.h"
#include "retry/retry_rule.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Wait between two tries to claim a run.
constexpr auto kClaimWait = std::chrono::milliseconds(250);
// Time beyond a request's deadline for which its claim stands.
constexpr Micros kClaimGrace = 5s;
// Rests of one request while all its targets have failed, and their length.
constexpr int kMaxRests = 8;
constexpr auto kRestTime = std::chrono::milliseconds(200);
// Time after which a caller may find a target or the table service again.
constexpr Micros kComeBack = 1s;

}  // namespace

Attempts::Attempts(InstanceContext& context, AttemptSubject subject)
    : context_(context), subject_(std::move(subject)) {}

DispatchRequest Attempts::Order() const {
  DispatchRequest order;
  order.workspace = subject_.workspace;
  order.model = subject_.model;
  order.service = subject_.service;
  order.digest = subject_.digest;
  order.excluded = tried_;
  order.prompt_tokens = subject_.prompt_tokens;
  order.charged_tokens = subject_.charged_tokens;
  order.prefixes = subject_.prefixes;
  order.attempt = attempts_;
  return order;
}

void Attempts::Refuse(RefusalKind kind, std::string reason, Instant retry_at) {
  refusal_ = {kind, any_sent_ ? Ran::kUnknown : Ran::kNo, std::move(reason),
              retry_at};
}

// An instance that has not read the suspects of the fleet would run one.
asio::awaitable<bool> Attempts::Ready() {
  if (context_.crashes.ready()) {
    co_return true;
  }
  Result<bool> ready = co_await context_.crashes.EnsureReady();
  if (!ready) {
    Refuse(RefusalKind::kNotReady,
           "quarantined requests not read yet: " + ready.error().Line(),
           context_.clock.Now() + kComeBack);
  }
  co_return ready.has_value();
}

asio::awaitable<std::optional<PickedTarget>> Attempts::Next() {
  const bool ready = co_await Ready();
  if (!ready) {
    co_return std::nullopt;
  }
  if (attempts_ > 0) {
    const FailedAttempt failed{subject_.idempotent, last_sent_, attempts_,
                               subject_.deadline};
    if (CheckRetry(context_.clock.Now(), failed) != RetryDenial::kNone) {
      co_return std::nullopt;
    }
  }
  for (;;) {
    const Instant asked_at = context_.clock.Now();
    Result<DispatchResult> answer = co_await DispatchOrWait(
        context_, Order(), subject_.deadline, load_expected_at_);
    waited_ += context_.clock.Now() - asked_at;
    if (!answer) {
      Refuse(RefusalKind::kOverloaded, answer.error().message,
             context_.clock.Now() + kComeBack);
      co_return std::nullopt;
    }
    const DispatchResult& given = answer.value();
    if (given.denial == DispatchDenial::kNone) {
      co_return Begin(given.target, false);
    }
    const bool rested = co_await Rest(given.denial);
    if (rested) {
      continue;
    }
    if (given.denial != DispatchDenial::kNeedsClaim) {
      Deny(given.denial, given.until);
      co_return std::nullopt;
    }
    Result<RunClaimAnswer> claim = co_await context_.crashes.Claim(
        Order(), subject_.request_id, subject_.deadline + kClaimGrace);
    if (claim && claim.value().denial == RunClaimDenial::kNone) {
      co_return Begin(claim.value().target, true);
    }
    const RunClaimDenial denial =
        claim ? claim.value().denial : RunClaimDenial::kStoreDown;
    const Instant next_try = context_.clock.Now() + kClaimWait;
    if (denial != RunClaimDenial::kBusy ||
        next_try >= subject_.first_byte_deadline) {
      DenyClaim(denial, claim ? claim.value().until : Instant{});
      co_return std::nullopt;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(kClaimWait);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Where each target has failed this request once, any may be asked again after
// a rest; a failure may have been of its connection only.
asio::awaitable<bool> Attempts::Rest(DispatchDenial denial) {
  const Instant until = context_.clock.Now() + kRestTime;
  if (denial != DispatchDenial::kNoTarget || attempts_ == 0 ||
      rests_ >= kMaxRests || until >= subject_.deadline) {
    co_return false;
  }
  ++rests_;
  tried_.clear();
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(kRestTime);
  co_await timer.async_wait(asio::use_awaitable);
  co_return true;
}

void Attempts::Progressed(Instant deadline) {
  attempts_ = 1;
  rests_ = 0;
  tried_.clear();
  subject_.deadline = deadline;
  subject_.first_byte_deadline = deadline;
}

std::optional<PickedTarget> Attempts::Begin(const PickedTarget& target,
                                            bool claimed) {
  current_ = target;
  claimed_ = claimed;
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

// After a failed attempt its refusal stands, unless the request is now known
// to crash targets.
void Attempts::Deny(DispatchDenial denial, Instant until) {
  const Instant soon = context_.clock.Now() + kComeBack;
  if (denial == DispatchDenial::kQuarantined) {
    Refuse(RefusalKind::kQuarantined,
           "two targets crashed while this request ran", until);
  } else if (attempts_ == 0) {
    Refuse(RefusalKind::kNoTarget,
           subject_.service.empty()
               ? "no target can serve model '" + subject_.model + "'"
               : "no target of service '" + subject_.service + "' is up",
           std::max(soon, load_expected_at_));
  } else if (denial == DispatchDenial::kRetryBudget) {
    refusal_.reason += "; the retry budget is spent";
  }
}

void Attempts::DenyClaim(RunClaimDenial denial, Instant until) {
  const Instant soon = context_.clock.Now() + kComeBack;
  const std::string known = "a target crashed while this request ran; ";
  switch (denial) {
    case RunClaimDenial::kQuarantined:
      Deny(DispatchDenial::kQuarantined, until);
      return;
    case RunClaimDenial::kStoreDown:
      Refuse(RefusalKind::kStoreUnavailable,
             known + "whether it may run again cannot be stored", soon);
      return;
    case RunClaimDenial::kNone:
    case RunClaimDenial::kBusy:
    case RunClaimDenial::kPeersSilent:
    case RunClaimDenial::kNoTarget:
    case RunClaimDenial::kRetryBudget:
      break;
  }
  Refuse(RefusalKind::kNoTarget,
         known + (denial == RunClaimDenial::kPeersSilent
                      ? "not every instance says that it does not run it"
                      : "no target is free to run it alone"),
         soon);
}

asio::awaitable<void> Attempts::Failed(Error error, bool bytes_sent) {
  any_sent_ = any_sent_ || bytes_sent;
  last_sent_ = bytes_sent;
  const bool unknown = bytes_sent && !subject_.idempotent;
  Refuse(unknown ? RefusalKind::kOutcomeUnknown : RefusalKind::kTargetFailed,
         error.Line(), unknown ? Instant{} : context_.clock.Now() + kComeBack);
  tried_.push_back(current_.name);
  context_.decisions.Finish(current_.name, true);
  if (!bytes_sent || error.kind == ErrorKind::kTimeout) {
    co_await Ended(false);
    co_return;
  }
  BrokenRun broken{subject_.request_id, subject_.digest, current_, claimed_};
  Result<BreakVerdict> verdict =
      co_await context_.crashes.OnBroken(std::move(broken));
  if (!claimed_) {
    context_.decisions.FinishDigest(subject_.digest, current_.name);
  }
  if (verdict && verdict.value() != BreakVerdict::kNotCrashed) {
    const bool quarantined = verdict.value() == BreakVerdict::kQuarantined;
    context_.events.Add(EventKind::kQuarantined, subject_.request_id,
                        subject_.workspace, current_.name,
                        quarantined ? "quarantined" : "suspect");
  }
}

asio::awaitable<void> Attempts::Ended(bool whole) {
  if (!claimed_) {
    context_.decisions.FinishDigest(subject_.digest, current_.name);
    co_return;
  }
  static_cast<void>(co_await context_.crashes.Release(
      subject_.request_id, subject_.digest, current_.name, whole));
}

}  // namespace jackdaw
