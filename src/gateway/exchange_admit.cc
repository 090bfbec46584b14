// Admission of a request: route, key, service and quota.
#include <algorithm>
#include <functional>
#include <utility>

#include "core/log.h"
#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

// Retry-After while the configuration, or a service in it, is missing.
constexpr Micros kConfigRetryAfter = 500ms;
// Retry-After for a request that crashes targets.
constexpr Micros kCrashRetryAfter = 10s;

}  // namespace

Exchange::Exchange(std::shared_ptr<CallerConnection> caller,
                   CallerRequest request,
                   ConfigPtr config,
                   ExchangeDependencies& deps,
                   Instant started_at,
                   bool closing)
    : caller_(std::move(caller)),
      request_(std::move(request)),
      body_(std::make_shared<const std::string>(
          std::exchange(request_.body(), {}))),
      config_(std::move(config)),
      deps_(deps),
      trace_(started_at),
      closing_(closing),
      call_(platform::DecodeCall(request_)) {
  ++deps_.counters.started;
  ++deps_.counters.in_progress;
}

Exchange::~Exchange() {
  deps_.timers.Clear(deadline_timer_);
  deps_.timers.Clear(attempt_timer_);
  deps_.timers.Clear(pause_timer_);
  --deps_.counters.in_progress;
  SetWaiting(false);
  if (!end_recorded_) {
    ++deps_.counters.without_end;
    Log(LogLevel::kError, "request_without_end",
        {{"id", call_.id}, {"steps", trace_.Text()}});
  }
}

void Exchange::Start() {
  if (!ResolveRoute()) {
    return;
  }
  // The caller's own time limit counts up to 1 h.
  const Micros limit = route_->time_limit;
  const Micros wait =
      call_.wait_ms ? Micros(std::chrono::milliseconds(std::clamp<std::int64_t>(
                          *call_.wait_ms, 0, 3600'000)))
                    : limit;
  deadline_ = trace_.started_at() + std::min(limit, wait);
  deps_.timers.Set(deadline_timer_, deadline_, [this] { OnDeadline(); });
  // A workspace's keys may change while its callers repeat a request.
  const std::string_view caller =
      workspace_ == nullptr ? call_.key : workspace_->name;
  causes_.request = RequestDigest(call_.target, caller, *body_);
  for (const PromptPart& part : call_.SharedParts()) {
    causes_.parts.push_back(part.id);
  }
  if (const auto cause =
          deps_.crashes.BlockedCause(causes_, deps_.clock.Now())) {
    RejectCrashing(cause);
    return;
  }
  ChooseService();
  Admit();
}

// Finds the route, workspace and priority of the request. Rejects the request
// and returns false if it has no route or a required key is not valid.
bool Exchange::ResolveRoute() {
  const Instant now = deps_.clock.Now();
  if (config_ == nullptr) {
    Reject({503, "no_configuration", "come back when it has been read",
            now + kConfigRetryAfter});
    return false;
  }
  route_ = config_->FindRoute(call_.host, call_.Path());
  if (route_ == nullptr) {
    Reject({404, "no_route", "check host and path", std::nullopt});
    return false;
  }
  workspace_ = call_.key.empty() ? nullptr : config_->FindOwner(call_.key);
  if (workspace_ == nullptr && !route_->open && !config_->workspaces.empty()) {
    Reject({401, "unknown_key", "send a key that a workspace holds",
            std::nullopt});
    return false;
  }
  priority_ = workspace_ != nullptr && workspace_->priority
                  ? *workspace_->priority
                  : route_->priority;
  priority_ = std::clamp(priority_, 0, 9);
  return true;
}

// Ends a request that crashes each target that runs it.
void Exchange::RejectCrashing(std::uint64_t cause) {
  constexpr std::string_view kKind = "request_crashes_targets";
  constexpr std::string_view kRemedy =
      "change the request; targets ended while they ran it";
  const Instant now = deps_.clock.Now();
  trace_.Add(
      now, "crashing",
      (cause == causes_.request ? "digest=" : "part=") + std::to_string(cause) +
          " targets=" + std::to_string(deps_.crashes.Crashes(cause, now)));
  if (head_sent_) {
    AbortResponse(kKind);
  } else if (may_have_run_) {
    Reject({502, kKind, kRemedy, std::nullopt});
  } else {
    Reject({503, kKind, kRemedy, now + kCrashRetryAfter});
  }
}

// Chooses a service of the route by weight. The same request id always gets the
// same service.
void Exchange::ChooseService() {
  std::int64_t total = 0;
  for (const ServiceShare& share : route_->services) {
    total += share.weight;
  }
  auto at = static_cast<std::int64_t>(std::hash<std::string>{}(call_.id) %
                                      static_cast<std::uint64_t>(total));
  for (const ServiceShare& share : route_->services) {
    at -= share.weight;
    if (at < 0) {
      service_ = config_->FindService(share.service);
      break;
    }
  }
}

void Exchange::Admit() {
  const Instant now = deps_.clock.Now();
  if (service_ == nullptr) {
    Reject({503, "service_not_configured", "check the route's services",
            now + kConfigRetryAfter});
    return;
  }
  deps_.retries.OnRequest(service_->name, now);
  if (workspace_ == nullptr) {
    Dispatch();
    return;
  }
  const double units = workspace_->counts_tokens && call_.has_token_count
                           ? static_cast<double>(call_.Tokens())
                           : workspace_->default_units;
  deps_.fleet.ChargeUnits(
      workspace_->name, units,
      [weak = weak_from_this(), &fleet = deps_.fleet](ChargeOutcome outcome) {
        const auto self = weak.lock();
        if (self != nullptr && !self->done_) {
          self->OnUnitsCharged(std::move(outcome));
        } else if (outcome.granted) {
          fleet.RefundUnits(outcome.charge);
        }
      });
}

void Exchange::OnUnitsCharged(ChargeOutcome outcome) {
  const Instant now = deps_.clock.Now();
  if (outcome.granted) {
    charge_ = std::move(outcome.charge);
    if (!charge_.borrowed.empty()) {
      trace_.Add(now, "quota_borrowed",
                 "holders=" + std::to_string(charge_.borrowed.size()));
    }
    Dispatch();
    return;
  }
  trace_.Add(now, "quota_short",
             "missing=" + std::to_string(static_cast<int>(outcome.missing)) +
                 " holders_asked=" + std::to_string(outcome.holders_asked));
  Reject({429, "over_quota", "send less, or ask for a higher quota",
          outcome.retry_at});
}

}  // namespace jackdaw::serving
