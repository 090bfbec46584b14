// Sending of a request: choice of a target, connection, first bytes.
#include <algorithm>

#include "core/log.h"
#include "gateway/exchange.h"
#include "gateway/pacing.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

// Maximum of adapter loads requested per request.
constexpr int kMaxAdapterRequests = 2;
// Maximum of requests for permission to send to a limited target, per request.
constexpr int kMaxSendRequests = 1;
// Time to open a connection before another target is tried.
constexpr Micros kConnectTimeout = 250ms;
// Idle time up to which a connection is reused; the target may have closed an
// older one. Requests that may not be repeated use the lower limit.
constexpr Micros kMaxIdleNonRepeatable = 3s;
constexpr Micros kMaxIdle = 60s;
// Values of Retry-After.
constexpr Micros kNoTargetRetryAfter = 500ms;
constexpr Micros kNoAdapterRetryAfter = 300ms;
constexpr Micros kLimitedRetryAfter = 100ms;
constexpr Micros kFullRetryAfter = 100ms;
constexpr Micros kEvacuatedRetryAfter = 1s;
constexpr Micros kNoHomeRetryAfter = 1s;

}  // namespace

void Exchange::Dispatch() {
  const Instant now = deps_.clock.Now();
  if (deadline_ - now < kMinTimeLeft) {
    OnDeadline();
    return;
  }
  const TargetPick pick = PickTarget();
  if (pick.outcome == PickOutcome::kChosen) {
    if (!waiting_) {
      TraceChoice(pick, now);
    }
    if (DelayOrReject(pick)) {
      return;
    }
    CountDomain(pick.domain);
    SendTo(pick.target, now);
    return;
  }
  if (pick.outcome == PickOutcome::kNoAdapter &&
      adapter_requests_ < kMaxAdapterRequests) {
    ++adapter_requests_;
    trace_.Add(now, "adapter_asked", call_.ModelName());
    deps_.fleet.LoadAdapter(service_->name, call_.model, call_.adapter,
                            [weak = weak_from_this()](const TargetPtr& target) {
                              if (const auto self = weak.lock();
                                  self != nullptr && !self->done_) {
                                self->OnAdapterLoaded(target);
                              }
                            });
    return;
  }
  if (pick.outcome == PickOutcome::kLimited && pick.target != nullptr &&
      send_requests_ < kMaxSendRequests) {
    AskToSend(pick);
    return;
  }
  OnNoTarget(pick);
}

void Exchange::CountDomain(DomainReason reason) {
  deps_.counters.left_domain_late += reason == DomainReason::kOwnLate ? 1 : 0;
  deps_.counters.left_domain_spillover +=
      reason == DomainReason::kSpillover ? 1 : 0;
  deps_.counters.left_domain_no_target +=
      reason == DomainReason::kNoOwnTarget ? 1 : 0;
}

// All targets that could serve the request have a limit, which the leader
// keeps.
void Exchange::AskToSend(const TargetPick& pick) {
  ++send_requests_;
  trace_.Add(deps_.clock.Now(), "send_asked", pick.target->entry.id);
  deps_.fleet.RequestSend(pick.target, [weak = weak_from_this(), pick](
                                           const SendPermission& permission) {
    if (const auto self = weak.lock(); self != nullptr && !self->done_) {
      self->OnSendPermission(pick, permission);
    }
  });
}

void Exchange::OnSendPermission(const TargetPick& pick,
                                const SendPermission& permission) {
  const Instant now = deps_.clock.Now();
  const bool late =
      pick.target->send_window.bounded() && now > permission.use_until;
  if (permission.granted && !late && pick.target->AcceptsRequests(now)) {
    trace_.Add(now, "send_granted", pick.target->entry.id);
    granted_until_ = permission.use_until;
    SendTo(pick.target, now);
    return;
  }
  if (permission.granted) {
    Dispatch();
    return;
  }
  TargetPick refused = pick;
  refused.retry_at = std::max(permission.retry_at, now);
  OnNoTarget(refused);
}

TargetPick Exchange::PickTarget(std::span<const TargetPtr> excluded) const {
  TargetQuery query;
  query.service = service_->name;
  query.call = &call_;
  query.engine = service_->engine ? &*service_->engine : nullptr;
  query.excluded = excluded;
  const Instant now = deps_.clock.Now();
  const Micros objective = route_->latency_objective > Micros(0)
                               ? route_->latency_objective
                               : route_->time_limit;
  query.objective = std::max(
      Micros(0),
      Micros(std::min(trace_.started_at() + objective, deadline_) - now));
  query.homes = AllowedDomains(deps_.targets.regions(), *route_, workspace_);
  return deps_.targets.Pick(query, now);
}

std::vector<TargetPtr> Exchange::AllTriedTargets() const {
  std::vector<TargetPtr> tried = excluded_targets_;
  tried.insert(tried.end(), silent_targets_.begin(), silent_targets_.end());
  return tried;
}

// Picks a target that has neither failed the request nor been silent, or else
// one that has only been silent.
TargetPick Exchange::PickTarget() const {
  TargetPick pick = PickTarget(AllTriedTargets());
  if (pick.outcome == PickOutcome::kChosen || silent_targets_.empty()) {
    return pick;
  }
  return PickTarget(excluded_targets_);
}

void Exchange::OnAdapterLoaded(const TargetPtr& target) {
  const Instant now = deps_.clock.Now();
  if (target == nullptr) {
    TargetPick pick;
    pick.outcome = PickOutcome::kNoAdapter;
    OnNoTarget(pick);
    return;
  }
  trace_.Add(now, "adapter_loaded", target->entry.id);
  deps_.targets.SetAdapter(*target, call_.ModelName(), true);
  Dispatch();
}

void Exchange::OnNoTarget(const TargetPick& pick) {
  const Instant now = deps_.clock.Now();
  if (head_sent_) {
    AbortResponse("no target can continue the stream");
    return;
  }
  if (may_have_run_) {
    Reject({502, "target_failed", "the request may have run", std::nullopt});
    return;
  }
  if (service_->engine && !call_.model.empty()) {
    deps_.demand.OnRequest({service_->name, call_.ModelName()},
                           static_cast<double>(call_.Tokens()), true);
  }
  if (pick.outcome == PickOutcome::kNoModel) {
    RejectMissingModel(now);
  } else if (pick.outcome == PickOutcome::kResting) {
    ++deps_.counters.resting_refusals;
    Reject({503, "targets_resting", "come back when a target takes requests",
            pick.retry_at});
  } else if (pick.outcome == PickOutcome::kLimited) {
    ++deps_.counters.limited_refusals;
    Reject({503, "target_limited", "come back when the target takes more",
            std::max(pick.retry_at, now + kLimitedRetryAfter)});
  } else if (pick.outcome == PickOutcome::kFull) {
    ++deps_.counters.full_refusals;
    Reject({503, "targets_full", "come back when requests there have ended",
            std::max(pick.retry_at, now + kFullRetryAfter)});
  } else if (pick.outcome == PickOutcome::kNoAdapter) {
    Reject({503, "adapter_not_held", "come back when it has been loaded",
            now + kNoAdapterRetryAfter});
  } else if (pick.outcome == PickOutcome::kEvacuated) {
    Reject({503, "domain_evacuated", "come back when the domain is in service",
            now + kEvacuatedRetryAfter});
  } else if (pick.outcome == PickOutcome::kNoHome) {
    Reject({503, "no_home", "come back when an allowed region can serve it",
            now + kNoHomeRetryAfter});
  } else {
    Reject({503, "no_target", "come back when a target is free",
            now + kNoTargetRetryAfter});
  }
}

void Exchange::RejectMissingModel(Instant now) {
  const auto& models = service_->engine->models;
  const auto offer = std::ranges::find(models, call_.model, &ModelSpec::name);
  const Micros load_time = offer == models.end() ? Micros(0) : offer->load_time;
  const MissingModelTracker::RetryEstimate estimate =
      deps_.missing_models.OnMissing(service_->name + "/" + call_.model,
                                     load_time, now);
  if (estimate.is_new) {
    deps_.fleet.SendHeartbeatNow();
  }
  Reject({503, "model_not_held", "come back when it has been loaded",
          estimate.retry_at});
}

// Counts the request at the target now and sends it at `at`.
void Exchange::SendTo(const TargetPtr& target, Instant at) {
  const Instant now = deps_.clock.Now();
  SetWaiting(false);
  target_ = target;
  sent_ = false;
  connection_ended_ = false;
  event_received_ = false;
  first_byte_recorded_ = false;
  head_parsed_ = false;
  informational_responses_ = 0;
  foreign_responses_ = 0;
  foreign_bytes_ = 0;
  parser_.reset();
  response_head_ = {};
  ++target_choices_;
  const Instant prefill_before = std::max(now, target_->prefill_until);
  sent_request_ = deps_.targets.OnSent(*target_, call_, now);
  expected_prefill_ = Micros(0);
  if (service_->engine) {
    expected_prefill_ = target_->prefill_until - std::max(at, prefill_before) +
                        std::max(Micros(0), Micros(prefill_before - at));
    deps_.fleet.AnnounceDispatch(*target_, call_, sent_request_);
  }
  if (at <= now) {
    OpenConnection();
    return;
  }
  deps_.timers.Set(attempt_timer_, at, [this] {
    const auto self = shared_from_this();
    OpenConnection();
  });
}

// Counts the request if those that the target gets are limited. One that was
// held back is counted now and not when its target was chosen.
bool Exchange::TakeSend(Instant now) {
  const bool granted = granted_until_ != Instant{};
  send_until_ = Instant::max();
  if (!deps_.targets.TakeSend(*target_, granted, now)) {
    return false;
  }
  if (target_->send_window.bounded()) {
    send_until_ = granted ? granted_until_ : now + SendWindow::kSendTime;
    deps_.fleet.AnnounceSend(*target_, granted);
  }
  granted_until_ = Instant{};
  return true;
}

void Exchange::OpenConnection() {
  const Instant now = deps_.clock.Now();
  if (!target_->AcceptsRequests(now) || !TakeSend(now)) {
    granted_until_ = Instant{};
    EndAttempt(TargetOutcome::kAbandoned);
    Dispatch();
    return;
  }
  sent_at_ = now;
  const Micros max_idle =
      route_->Repeatable() ? kMaxIdle : kMaxIdleNonRepeatable;
  connection_ = deps_.connections.Acquire(*target_, now - max_idle, call_.id);
  connection_reused_ = connection_ != nullptr;
  if (connection_reused_) {
    connection_->Attach(*this);
    SendRequest();
    return;
  }
  connection_ = deps_.connections.Create();
  last_progress_at_ = now;
  deps_.timers.Set(attempt_timer_, now + kConnectTimeout, [this] {
    const auto self = shared_from_this();
    connection_->Close();
    OnConnectionEnd(ConnectionEnd::kBroken);
  });
  connection_->Open(target_->entry.address, *this);
}

void Exchange::OnConnected() {
  const auto self = shared_from_this();
  deps_.timers.Clear(attempt_timer_);
  connection_->set_opened_at(deps_.clock.Now());
  SendRequest();
}

void Exchange::SendRequest() {
  const Instant now = deps_.clock.Now();
  if (!target_->AcceptsRequests(now) || now > send_until_) {
    EndAttempt(TargetOutcome::kAbandoned);
    target_choices_ < kMaxTargetChoices ? Dispatch() : OnNoTarget({});
    return;
  }
  // The request may have waited since it was admitted.
  if (const auto cause = deps_.crashes.BlockedCause(causes_, now)) {
    EndAttempt(TargetOutcome::kAbandoned);
    RejectCrashing(cause);
    return;
  }
  platform::ForwardedHead head;
  head.target_id = target_->entry.id;
  head.remaining_ms = std::max<std::int64_t>(1, (deadline_ - now) / 1ms);
  head.workspace = workspace_ == nullptr ? std::string_view()
                                         : std::string_view(workspace_->name);
  if (service_->engine) {
    head.priority = priority_;
  }
  head.last_event =
      events_.last_event() ? events_.last_event() : call_.last_event;
  head.body_bytes = body_->size();
  std::string text = platform::EncodeForwarded(request_, head);
  sent_ = true;
  ++attempts_;
  sent_at_ = now;
  last_progress_at_ = now;
  trace_.Add(now, "sent",
             target_->entry.id + (connection_reused_ ? " kept" : " new") +
                 " left_ms=" + std::to_string(head.remaining_ms));
  if (service_->engine && !call_.model.empty() && attempts_ == 1) {
    deps_.demand.OnRequest({service_->name, call_.ModelName()},
                           static_cast<double>(call_.Tokens()), false);
  }
  connection_->request_ids().Add(call_.id);
  connection_->Send(std::move(text), body_);
  ArmStallTimer();
}

}  // namespace jackdaw::serving
