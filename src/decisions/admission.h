#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "budget/equal_split.h"
#include "config/fleet_config.h"
#include "config/model_name.h"
#include "core/invariant.h"
#include "decisions/request.h"

namespace jackdaw {

/// Decides whether a request may run, from its key, route, model and budget,
/// and sets its deadlines. Does no I/O, starts no thread and reads no clock:
/// `now` is a parameter.
/// @tparam Budget scheme that limits workspaces to their rate and burst
template <BudgetScheme Budget>
class Admission {
 public:
  explicit Admission(Budget budget) : budget_(std::move(budget)) {}

  /// Applies a configuration. Its version must not be below the current one.
  void OnConfig(Instant now, FleetConfigPtr config) {
    CheckInvariant(!config_ || config->version >= config_->version,
                   "the configuration version must not decrease");
    config_ = std::move(config);
    keys_.clear();
    for (const auto& key : config_->keys) {
      keys_[key.digest] = &key;
    }
    budget_.OnConfig(now, *config_);
  }

  /// Decides without waiting: refuses what the budget does not cover now.
  AdmitResult Admit(Instant now, const RequestInfo& info);

  /// Checks key, route and model, and computes the charge and the deadlines.
  /// Spends nothing of the budget.
  AdmitResult Check(Instant now, const RequestInfo& info);

  /// Returns the refusal of a request that its workspace's budget does not
  /// cover. @param retry_at when the budget will cover it, Instant::max() for
  /// never
  static Refused OverBudgetRefusal(const Admitted& admitted, Instant retry_at);

  /// @returns the workspace of a key, empty where the key is unknown or
  /// withdrawn
  std::string_view WorkspaceOf(std::string_view key_digest) const {
    const auto found = keys_.find(std::string(key_digest));
    return found == keys_.end() || found->second->withdrawn
               ? std::string_view()
               : std::string_view(found->second->workspace);
  }

  /// Credits the workspace with tokens that a request was charged and did not
  /// use.
  void Refund(Instant now, std::string_view workspace, std::int64_t tokens) {
    budget_.Refund(now, workspace, tokens);
  }

  const FleetConfigPtr& config() const { return config_; }
  Budget& budget() { return budget_; }

 private:
  const Route* FindRoute(const RequestInfo& info) const;
  bool OffersModel(std::string_view full_name) const;

  Budget budget_;
  FleetConfigPtr config_;
  std::unordered_map<std::string, const Key*> keys_;
};

template <BudgetScheme Budget>
const Route* Admission<Budget>::FindRoute(const RequestInfo& info) const {
  for (const auto& service : config_->services) {
    if (service.name != info.service) {
      continue;
    }
    for (const auto& route : service.routes) {
      if (route.path == info.path && route.method == info.method) {
        return &route;
      }
    }
  }
  return nullptr;
}

template <BudgetScheme Budget>
bool Admission<Budget>::OffersModel(std::string_view full_name) const {
  const auto [model, adapter] = SplitModelName(full_name);
  bool known = adapter.empty();
  for (const auto& offered : config_->adapters) {
    known = known || (offered.name == adapter && offered.model == model);
  }
  if (!known) {
    return false;
  }
  for (const auto& deployment : config_->deployments) {
    for (const auto& name : deployment.models) {
      if (name == model) {
        return true;
      }
    }
  }
  return false;
}

template <BudgetScheme Budget>
AdmitResult Admission<Budget>::Check(Instant now, const RequestInfo& info) {
  const auto refuse = [](RefusalKind kind, std::string reason,
                         std::string_view workspace = {},
                         Instant retry_at = {}) {
    return Refused{{kind, Ran::kNo, std::move(reason), retry_at},
                   std::string(workspace)};
  };
  if (!config_) {
    return refuse(RefusalKind::kNotReady, "no configuration read yet", {},
                  now + 1s);
  }
  const Route* route = info.service.empty() ? nullptr : FindRoute(info);
  if (!info.service.empty() && route == nullptr) {
    return refuse(RefusalKind::kUnknownRoute, "no route " + info.method + " " +
                                                  info.path + " at service '" +
                                                  info.service + "'");
  }
  Admitted admitted;
  if (route == nullptr || !route->open) {
    if (info.key_digest.empty()) {
      return refuse(RefusalKind::kMissingKey, "the route needs a key");
    }
    if (now > info.keys_valid_until) {
      return refuse(
          RefusalKind::kStaleView,
          "the instance stood still and has not looked yet whether keys "
          "still stand",
          {}, now + 1s);
    }
    const auto found = keys_.find(info.key_digest);
    if (found == keys_.end()) {
      return refuse(RefusalKind::kUnknownKey, "the key was never granted");
    }
    if (found->second->withdrawn) {
      return refuse(RefusalKind::kWithdrawnKey,
                    "key '" + found->second->id + "' was withdrawn",
                    found->second->workspace);
    }
    admitted.workspace = found->second->workspace;
  }
  if (info.service.empty() && !OffersModel(info.model)) {
    return refuse(RefusalKind::kUnknownModel,
                  "no deployment offers model '" + info.model + "'",
                  admitted.workspace);
  }
  const std::int64_t now_ms = ToMillis(now);
  const std::string scope = "workspace/" + admitted.workspace;
  const auto setting = [&](std::string_view name) {
    return SettingFor(*config_, name, scope, now_ms);
  };
  if (route != nullptr) {
    admitted.idempotent = route->idempotent;
    admitted.charged_tokens = setting("plain_call_tokens");
  } else {
    const std::int64_t output = info.max_output_tokens > 0
                                    ? info.max_output_tokens
                                    : setting("max_output_tokens");
    admitted.charged_tokens = info.prompt_tokens + output;
  }
  admitted.deadline =
      now + std::chrono::milliseconds(setting("request_deadline_ms"));
  admitted.first_byte_deadline =
      now + std::chrono::milliseconds(setting("first_byte_ms"));
  admitted.between_bytes =
      std::chrono::milliseconds(setting("between_bytes_ms"));
  return admitted;
}

template <BudgetScheme Budget>
AdmitResult Admission<Budget>::Admit(Instant now, const RequestInfo& info) {
  AdmitResult checked = Check(now, info);
  const auto* admitted = std::get_if<Admitted>(&checked);
  if (admitted == nullptr || admitted->workspace.empty()) {
    return checked;
  }
  const SpendResult spend =
      budget_.Spend(now, admitted->workspace, admitted->charged_tokens);
  if (!spend.granted) {
    return OverBudgetRefusal(*admitted, spend.ready_at);
  }
  return checked;
}

template <BudgetScheme Budget>
Refused Admission<Budget>::OverBudgetRefusal(const Admitted& admitted,
                                             Instant retry_at) {
  const bool never = retry_at == Instant::max();
  return {{never ? RefusalKind::kOverBurst : RefusalKind::kOverRate, Ran::kNo,
           std::to_string(admitted.charged_tokens) +
               " tokens asked, workspace '" + admitted.workspace +
               (never ? "' may never hold as many" : "' has fewer left"),
           never ? Instant{} : retry_at},
          admitted.workspace};
}

}  // namespace jackdaw
