// Sending of a request: choice of a target, second sends, timeouts.
#include <algorithm>

#include "core/log.h"
#include "gateway/exchange.h"
#include "gateway/pace.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

// Connections that are tried for one request.
constexpr int kMostOpens = 4;
// Times that an adapter is asked for, for one request.
constexpr int kMostAdapterAsks = 2;
// Time to open a connection before another target is tried.
constexpr Micros kOpenTime = 250ms;
// A kept connection that was idle for longer may have been closed meanwhile;
// requests that may not be repeated use a new one.
constexpr Micros kSurelyLive = 3s;
constexpr Micros kMaybeLive = 60s;
// Least time that a send is worth.
constexpr Micros kLeastLeft = 20ms;
// Silence after which a request that may be repeated moves to another target.
constexpr Micros kStallStream = 1300ms;
constexpr Micros kStallPlain = 600ms;
// A stalled request moves only to a target expected to answer within this.
constexpr double kStallMoveMs = 600;
// Moments at which a caller is told to come back.
constexpr Micros kNoTargetWait = 500ms;
constexpr Micros kNoAdapterWait = 300ms;

}  // namespace

void Exchange::Dispatch() {
  const Instant now = ports_.clock.Now();
  if (deadline_ - now < kLeastLeft) {
    OnDeadline();
    return;
  }
  TargetNeed need;
  need.service = service_->name;
  need.call = &call_;
  need.engine = service_->engine ? &*service_->engine : nullptr;
  need.excluded = tried_;
  const TargetPick pick = ports_.board.Pick(need, now);
  if (pick.outcome == PickOutcome::kChosen) {
    if (!waiting_) {
      TraceChoice(pick, now);
    }
    if (PaceTo(pick)) {
      return;
    }
    SendTo(pick.target, now);
    return;
  }
  if (pick.outcome == PickOutcome::kNoAdapter &&
      adapter_asks_ < kMostAdapterAsks) {
    ++adapter_asks_;
    trace_.Add(now, "adapter_asked", call_.ModelName());
    ports_.help.LoadAdapter(service_->name, call_.model, call_.adapter,
                            [weak = weak_from_this()](const TargetPtr& target) {
                              if (const auto self = weak.lock();
                                  self != nullptr && !self->done_) {
                                self->OnAdapterLoaded(target);
                              }
                            });
    return;
  }
  OnNoTarget(pick);
}

void Exchange::OnAdapterLoaded(const TargetPtr& target) {
  const Instant now = ports_.clock.Now();
  if (target == nullptr) {
    TargetPick pick;
    pick.outcome = PickOutcome::kNoAdapter;
    OnNoTarget(pick);
    return;
  }
  trace_.Add(now, "adapter_loaded", target->entry.id);
  ports_.board.SetAdapter(*target, call_.ModelName(), true);
  Dispatch();
}

void Exchange::OnNoTarget(const TargetPick& pick) {
  const Instant now = ports_.clock.Now();
  if (head_sent_) {
    BreakOff("no target can continue the stream");
    return;
  }
  if (may_have_run_) {
    Refuse({502, "target_failed", "the request may have run", std::nullopt});
    return;
  }
  if (service_->engine && !call_.model.empty()) {
    ports_.demand.OnRequest({service_->name, call_.ModelName()},
                            static_cast<double>(call_.Tokens()), true);
  }
  if (pick.outcome == PickOutcome::kNoModel) {
    RefuseMissingModel(now);
  } else if (pick.outcome == PickOutcome::kNoAdapter) {
    Refuse({503, "adapter_not_held", "come back when it has been loaded",
            now + kNoAdapterWait});
  } else {
    Refuse({503, "no_target", "come back when a target is free",
            now + kNoTargetWait});
  }
}

void Exchange::RefuseMissingModel(Instant now) {
  const auto& models = service_->engine->models;
  const auto offer = std::ranges::find(models, call_.model, &ModelSpec::name);
  const Micros load_time = offer == models.end() ? Micros(0) : offer->load_time;
  const ModelWaits::Wait wait = ports_.waits.OnMissing(
      service_->name + "/" + call_.model, load_time, now);
  if (wait.is_new) {
    ports_.help.TellMissing();
  }
  Refuse({503, "model_not_held", "come back when it has been loaded",
          wait.come_back});
}

// Takes the place at the target now, and sends at `at`.
void Exchange::SendTo(const TargetPtr& target, Instant at) {
  const Instant now = ports_.clock.Now();
  SetWaiting(false);
  target_ = target;
  sent_ = false;
  first_byte_ = false;
  head_seen_ = false;
  parser_.reset();
  answer_ = {};
  ++opens_;
  const Instant reading_before = std::max(now, target_->reading_until);
  const std::int64_t tokens = ports_.board.OnSent(*target_, call_, now);
  expected_reading_ = Micros(0);
  if (service_->engine) {
    expected_reading_ = target_->reading_until - std::max(at, reading_before) +
                        std::max(Micros(0), Micros(reading_before - at));
    ports_.help.TellSent(*target_, call_, tokens);
  }
  if (at <= now) {
    OpenLink();
    return;
  }
  ports_.deadlines.Set(stall_handle_, at, [this] {
    const auto self = shared_from_this();
    OpenLink();
  });
}

void Exchange::OpenLink() {
  const Instant now = ports_.clock.Now();
  if (target_->leaving) {
    EndAttempt(TargetOutcome::kAbandoned);
    Dispatch();
    return;
  }
  sent_at_ = now;
  const Micros live = route_->Repeatable() ? kMaybeLive : kSurelyLive;
  link_ = ports_.links.Take(*target_, now - live);
  link_was_used_ = link_ != nullptr;
  if (link_was_used_) {
    link_->Attach(*this);
    SendRequest();
    return;
  }
  link_ = ports_.links.Make();
  progress_at_ = now;
  ports_.deadlines.Set(stall_handle_, now + kOpenTime, [this] {
    const auto self = shared_from_this();
    link_->Close();
    OnLinkEnd(LinkEnd::kBroken);
  });
  link_->Open(target_->entry.address, *this);
}

void Exchange::OnLinkOpen() {
  const auto self = shared_from_this();
  ports_.deadlines.Clear(stall_handle_);
  SendRequest();
}

void Exchange::SendRequest() {
  const Instant now = ports_.clock.Now();
  if (target_->leaving) {
    EndAttempt(TargetOutcome::kAbandoned);
    Dispatch();
    return;
  }
  platform::ForwardedHead head;
  head.target_id = target_->entry.id;
  head.left_ms = std::max<std::int64_t>(1, (deadline_ - now) / 1ms);
  head.workspace = workspace_ == nullptr ? std::string_view()
                                         : std::string_view(workspace_->name);
  if (service_->engine) {
    head.priority = priority_;
  }
  head.last_event =
      events_.last_event() ? events_.last_event() : call_.last_event;
  head.body_bytes = request_.body().size();
  std::string text = platform::EncodeForwarded(request_, head);
  text += request_.body();
  sent_ = true;
  ++sends_;
  sent_at_ = now;
  progress_at_ = now;
  trace_.Add(now, "sent",
             target_->entry.id + (link_was_used_ ? " kept" : " new") +
                 " left_ms=" + std::to_string(head.left_ms));
  if (service_->engine && !call_.model.empty() && sends_ == 1) {
    ports_.demand.OnRequest({service_->name, call_.ModelName()},
                            static_cast<double>(call_.Tokens()), false);
  }
  link_->Send(std::move(text));
  ArmStall();
}

// Watches for silence, where the request could go on at another target.
void Exchange::ArmStall() {
  if (!route_->Repeatable() || sends_ >= route_->max_attempts) {
    return;
  }
  const Micros limit =
      route_->kind == RouteKind::kStream ? kStallStream : kStallPlain;
  ports_.deadlines.Set(stall_handle_, progress_at_ + limit,
                       [this] { OnStall(); });
}

void Exchange::OnStall() {
  const auto self = shared_from_this();
  const Instant now = ports_.clock.Now();
  const Micros limit =
      route_->kind == RouteKind::kStream ? kStallStream : kStallPlain;
  if (now - progress_at_ < limit) {
    ArmStall();
    return;
  }
  TargetNeed need;
  need.service = service_->name;
  need.call = &call_;
  need.engine = service_->engine ? &*service_->engine : nullptr;
  std::vector<TargetPtr> excluded = tried_;
  excluded.push_back(target_);
  need.excluded = excluded;
  const TargetPick pick = ports_.board.Pick(need, now);
  if (pick.outcome != PickOutcome::kChosen || pick.expected_ms > kStallMoveMs ||
      paused_ || !MayRetry(true)) {
    progress_at_ = now;
    ArmStall();
    return;
  }
  trace_.Add(now, "stalled", target_->entry.id);
  may_have_run_ = true;
  tried_.push_back(target_);
  EndAttempt(TargetOutcome::kFailed);
  events_.DropRest();
  ++ports_.counts.retries;
  SendTo(pick.target, now);
}

// Decides on another send and takes it from the budget.
bool Exchange::MayRetry(bool may_have_run) {
  const Instant now = ports_.clock.Now();
  if (may_have_run && !route_->Repeatable()) {
    return false;
  }
  if (head_sent_ && !(is_stream_ && route_->resumable)) {
    return false;
  }
  if (sends_ >= route_->max_attempts || deadline_ - now < kLeastLeft ||
      answer_ended_) {
    return false;
  }
  return ports_.retries.TryRetry(service_->name, now);
}

void Exchange::Retry(std::string_view reason, bool may_have_run) {
  trace_.Add(ports_.clock.Now(), "retry", std::string(reason));
  may_have_run_ = may_have_run_ || may_have_run;
  ++ports_.counts.retries;
  events_.DropRest();
  Dispatch();
}

// Ends the use of the target and its connection.
void Exchange::EndAttempt(TargetOutcome outcome) {
  ports_.deadlines.Clear(stall_handle_);
  if (target_ == nullptr) {
    return;
  }
  ports_.board.OnEnded(*target_, outcome, first_byte_, sent_at_,
                       ports_.clock.Now());
  if (link_ != nullptr) {
    link_->Close();
    link_.reset();
  }
  target_.reset();
  paused_ = false;
}

void Exchange::OnLinkEnd(LinkEnd end) {
  const auto self = shared_from_this();
  ports_.deadlines.Clear(stall_handle_);
  const Instant now = ports_.clock.Now();
  if (!sent_) {
    trace_.Add(now, "unreachable", target_->entry.id);
    tried_.push_back(target_);
    EndAttempt(TargetOutcome::kUnreachable);
    if (opens_ < kMostOpens) {
      Dispatch();
    } else {
      OnNoTarget({});
    }
    return;
  }
  if (head_seen_ && end == LinkEnd::kClosed && parser_->need_eof()) {
    boost::system::error_code failure;
    parser_->put_eof(failure);
    if (!failure && parser_->is_done()) {
      OnAnswerProgress();
      return;
    }
  }
  OnAttemptBroken(end == LinkEnd::kClosed ? "closed" : "reset");
}

void Exchange::OnDeadline() {
  const auto self = shared_from_this();
  trace_.Add(ports_.clock.Now(), "deadline");
  if (head_sent_) {
    BreakOff("deadline");
    return;
  }
  Refuse(
      {sends_ == 0 ? 503 : 504, "deadline", "allow more time", std::nullopt});
}

void Exchange::OnCallerGone() {
  const auto self = shared_from_this();
  if (done_) {
    return;
  }
  trace_.Add(ports_.clock.Now(), "caller_gone");
  ++ports_.counts.abandoned;
  LogEnd("abandoned", 0, "caller closed the connection");
  Close();
}

void Exchange::SetWaiting(bool waiting) {
  if (waiting_ != waiting) {
    waiting_ = waiting;
    waiting ? ++ports_.counts.waiting : --ports_.counts.waiting;
  }
}

void Exchange::Close() {
  done_ = true;
  SetWaiting(false);
  ports_.deadlines.Clear(deadline_handle_);
  EndAttempt(TargetOutcome::kAbandoned);
}

}  // namespace jackdaw::serving
