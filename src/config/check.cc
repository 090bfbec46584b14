#include "config/check.h"

#include <algorithm>
#include <array>
#include <set>

namespace jackdaw {
namespace {

Error Invalid(const std::string& path, const std::string& what) {
  return {ErrorKind::kInvalidSetting, path + ": " + what,
          "correct this member and apply again"};
}

std::string At(std::string_view list, std::size_t index) {
  return "/" + std::string(list) + "/" + std::to_string(index);
}

template <typename T>
bool HasName(const std::vector<T>& items, std::string_view name) {
  return std::any_of(items.begin(), items.end(),
                     [&](const T& item) { return item.name == name; });
}

// Instances are not part of the configuration, so any name of one is taken.
bool IsKnownScope(const FleetConfig& config, std::string_view scope) {
  if (scope == "fleet") {
    return true;
  }
  const std::size_t slash = scope.find('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  const std::string_view kind = scope.substr(0, slash);
  const std::string_view name = scope.substr(slash + 1);
  return (kind == "workspace" && HasName(config.workspaces, name)) ||
         (kind == "model" && HasName(config.models, name)) ||
         (kind == "adapter" && HasName(config.adapters, name)) ||
         (kind == "deployment" && HasName(config.deployments, name)) ||
         (kind == "service" && HasName(config.services, name)) ||
         (kind == "target" && HasName(config.targets, name)) ||
         (kind == "instance" && !name.empty());
}

Result<void> CheckKeys(const FleetConfig& config) {
  std::set<std::string_view> ids;
  std::set<std::string_view> digests;
  for (std::size_t i = 0; i < config.keys.size(); ++i) {
    const Key& key = config.keys[i];
    if (!ids.insert(key.id).second) {
      return Invalid(At("keys", i) + "/id", "'" + key.id + "' stands twice");
    }
    if (!digests.insert(key.digest).second) {
      return Invalid(At("keys", i) + "/digest",
                     "key '" + key.id + "' has the digest of another key");
    }
    const bool hex =
        key.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!hex) {
      return Invalid(At("keys", i) + "/digest",
                     "must have hexadecimal digits in lower case");
    }
  }
  return success();
}

Result<void> CheckRoutes(const FleetConfig& config) {
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    std::set<std::pair<std::string_view, std::string_view>> seen;
    const auto& routes = config.services[i].routes;
    for (std::size_t j = 0; j < routes.size(); ++j) {
      if (!seen.emplace(routes[j].method, routes[j].path).second) {
        return Invalid(At("services", i) + At("routes", j),
                       "route '" + routes[j].method + " " + routes[j].path +
                           "' stands twice");
      }
    }
  }
  return success();
}

Result<void> CheckExceptions(const FleetConfig& config) {
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (std::size_t i = 0; i < config.exceptions.size(); ++i) {
    const Exception& exception = config.exceptions[i];
    if (!IsKnownScope(config, exception.scope)) {
      return Invalid(At("exceptions", i) + "/scope",
                     "'" + exception.scope +
                         "' names nothing in this configuration, like "
                         "workspace/NAME or fleet");
    }
    if (!seen.emplace(exception.scope, exception.setting).second) {
      return Invalid(At("exceptions", i), "a second exception for '" +
                                              exception.setting + "' of '" +
                                              exception.scope + "'");
    }
    if (exception.reason.empty()) {
      return Invalid(At("exceptions", i) + "/reason", "must not be empty");
    }
  }
  return success();
}

Result<void> CheckEvacuations(const FleetConfig& config) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < config.evacuations.size(); ++i) {
    const std::string& domain = config.evacuations[i].failure_domain;
    if (!seen.insert(domain).second) {
      return Invalid(At("evacuations", i), "'" + domain + "' stands twice");
    }
  }
  return success();
}

bool SameException(const Exception& a, const Exception& b) {
  return a.scope == b.scope && a.setting == b.setting && a.value == b.value &&
         a.expires_ms == b.expires_ms;
}

// One that has ended since may stay; a new one must still have an effect.
Result<void> CheckNewExceptions(const FleetConfig& before,
                                const FleetConfig& after,
                                std::int64_t now_ms) {
  for (std::size_t i = 0; i < after.exceptions.size(); ++i) {
    const Exception& wanted = after.exceptions[i];
    const bool old = std::any_of(
        before.exceptions.begin(), before.exceptions.end(),
        [&](const Exception& other) { return SameException(wanted, other); });
    if (!old && wanted.expires_ms != 0 && wanted.expires_ms <= now_ms) {
      return Invalid(At("exceptions", i) + "/expires_ms", "has passed already");
    }
  }
  return success();
}

// A key that was withdrawn must not come back under its old digest.
Result<void> CheckKeyChanges(const FleetConfig& before,
                             const FleetConfig& after) {
  std::set<std::string_view> withdrawn;
  for (const auto& key : before.keys) {
    if (key.withdrawn) {
      withdrawn.insert(key.digest);
    }
  }
  for (std::size_t i = 0; i < after.keys.size(); ++i) {
    if (!after.keys[i].withdrawn && withdrawn.contains(after.keys[i].digest)) {
      return Invalid(At("keys", i),
                     "key '" + after.keys[i].id +
                         "' was withdrawn; create a new key instead");
    }
  }
  return success();
}

}  // namespace

Result<void> CheckConsistency(const FleetConfig& config) {
  BOOST_OUTCOME_TRY(CheckKeys(config));
  BOOST_OUTCOME_TRY(CheckRoutes(config));
  BOOST_OUTCOME_TRY(CheckEvacuations(config));
  return CheckExceptions(config);
}

Result<void> CheckChange(const FleetConfig& before,
                         const FleetConfig& after,
                         std::int64_t now_ms) {
  for (const auto& workspace : before.workspaces) {
    if (HasName(after.workspaces, workspace.name)) {
      continue;
    }
    for (const auto& key : before.keys) {
      if (key.workspace == workspace.name && !key.withdrawn) {
        return Error{
            ErrorKind::kInvalidSetting,
            "/workspaces: '" + workspace.name + "' is left out but its key '" +
                key.id + "' is live",
            "withdraw the key first: jackdawctl key withdraw " + key.id};
      }
    }
  }
  BOOST_OUTCOME_TRY(CheckKeyChanges(before, after));
  return CheckNewExceptions(before, after, now_ms);
}

}  // namespace jackdaw
