// Admission of a request: route, key, quota, service.
#include <algorithm>
#include <functional>

#include "core/log.h"
#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

// A caller that came before the configuration is told to come back after it.
constexpr Micros kConfigWait = 500ms;
// Time for which a request that crashes targets is refused.
constexpr Micros kCrashBar = 10s;

}  // namespace

Exchange::Exchange(std::shared_ptr<CallerConnection> caller,
                   CallerRequest request,
                   ConfigPtr config,
                   ExchangePorts& ports,
                   Instant began,
                   bool closing)
    : caller_(std::move(caller)),
      request_(std::move(request)),
      config_(std::move(config)),
      ports_(ports),
      trace_(began),
      closing_(closing),
      call_(platform::DecodeCall(request_)) {
  ++ports_.counts.begun;
  ++ports_.counts.under_way;
}

Exchange::~Exchange() {
  ports_.deadlines.Clear(deadline_handle_);
  ports_.deadlines.Clear(stall_handle_);
  --ports_.counts.under_way;
  SetWaiting(false);
}

void Exchange::Start() {
  if (!Identify()) {
    return;
  }
  const Micros limit = route_->time_limit;
  const Micros wait =
      call_.wait_ms ? Micros(std::chrono::milliseconds(std::clamp<std::int64_t>(
                          *call_.wait_ms, 0, 3600'000)))
                    : limit;
  deadline_ = trace_.began() + std::min(limit, wait);
  ports_.deadlines.Set(deadline_handle_, deadline_, [this] { OnDeadline(); });
  digest_ = RequestDigest(call_.target, call_.key, request_.body());
  const Instant now = ports_.clock.Now();
  if (ports_.crashes.Barred(digest_, now)) {
    Refuse({503, "request_crashes_targets",
            "change the request; targets ended while they ran it",
            now + kCrashBar});
    return;
  }
  ChooseService();
  Admit();
}

// Finds route and workspace, or refuses.
bool Exchange::Identify() {
  const Instant now = ports_.clock.Now();
  if (config_ == nullptr) {
    Refuse({503, "no_configuration", "come back when it has been read",
            now + kConfigWait});
    return false;
  }
  route_ = config_->FindRoute(call_.host, call_.Path());
  if (route_ == nullptr) {
    Refuse({404, "no_route", "check host and path", std::nullopt});
    return false;
  }
  workspace_ = call_.key.empty() ? nullptr : config_->FindOwner(call_.key);
  if (workspace_ == nullptr && !route_->open && !config_->workspaces.empty()) {
    Refuse({401, "unknown_key", "send a key that a workspace holds",
            std::nullopt});
    return false;
  }
  priority_ = workspace_ != nullptr && workspace_->priority
                  ? *workspace_->priority
                  : route_->priority;
  priority_ = std::clamp(priority_, 0, 9);
  return true;
}

// Picks among the services of the route by weight, the same for the same id.
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
  const Instant now = ports_.clock.Now();
  if (service_ == nullptr) {
    Refuse({503, "service_not_configured", "check the route's services",
            now + kConfigWait});
    return;
  }
  ports_.retries.OnRequest(service_->name, now);
  if (workspace_ == nullptr) {
    Dispatch();
    return;
  }
  const double units = workspace_->counts_tokens && call_.has_token_count
                           ? static_cast<double>(call_.Tokens())
                           : workspace_->default_units;
  const SpendOutcome outcome =
      ports_.quotas.Spend(workspace_->name, units, now);
  if (outcome.granted) {
    charged_ = units;
    Dispatch();
    return;
  }
  trace_.Add(now, "quota_short",
             "missing=" + std::to_string(static_cast<int>(outcome.missing)));
  ports_.help.BorrowUnits(workspace_->name, outcome.missing,
                          [weak = weak_from_this(), units](double) {
                            if (const auto self = weak.lock();
                                self != nullptr && !self->done_) {
                              self->OnBorrowed(units);
                            }
                          });
}

// Tries again after other instances were asked for units.
void Exchange::OnBorrowed(double units) {
  const Instant now = ports_.clock.Now();
  const SpendOutcome outcome =
      ports_.quotas.Spend(workspace_->name, units, now);
  if (outcome.granted) {
    charged_ = units;
    Dispatch();
    return;
  }
  Refuse({429, "over_quota", "send less, or ask for a higher quota",
          outcome.retry_at});
}

}  // namespace jackdaw::serving
