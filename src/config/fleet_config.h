#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace jackdaw {

/// A customer of the operators.
struct Workspace {
  std::string name;
};

/// A caller's key; only its digest is ever kept.
struct Key {
  std::string id;
  std::string workspace;
  std::string digest;
  bool withdrawn = false;
};

/// What runs at a target: a model engine, or a plain service.
enum class TargetKind : std::uint8_t { kEngine, kPlain };

/// A back end.
struct Target {
  std::string name;
  std::string address;
  std::string failure_domain;
  TargetKind kind = TargetKind::kEngine;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 1;
  /// Whether the target refuses orders with an old fencing number.
  bool checks_fence = true;
};

/// A model that is offered to callers.
struct Model {
  std::string name;
  std::int64_t memory_mb = 0;
  std::int64_t version = 1;
};

/// A small addition to a model, loaded beside it.
struct Adapter {
  std::string name;
  std::string model;
  std::int64_t memory_mb = 0;
};

/// Models offered on a group of engines.
struct Deployment {
  std::string name;
  std::vector<std::string> models;
  std::vector<std::string> targets;
};

/// A path of a plain service and the promises it needs.
struct Route {
  std::string method;
  std::string path;
  bool idempotent = false;
  /// Open routes need no key.
  bool open = false;
};

/// A plain service behind `/call/<name>/`.
struct Service {
  std::string name;
  std::vector<std::string> targets;
  std::vector<Route> routes;
};

/// A departure from a fleet default, for one scope, with its reason.
struct Exception {
  /// Such as `workspace/school`; see docs/OPERATIONS.md.
  std::string scope;
  std::string setting;
  std::int64_t value = 0;
  std::string reason;
  /// Milliseconds since the Unix epoch; 0 for no end.
  std::int64_t expires_ms = 0;
};

/// A failure domain whose targets get no new requests.
struct Evacuation {
  std::string failure_domain;
};

/// The whole configuration of the fleet at one version.
struct FleetConfig {
  std::uint64_t version = 0;
  std::map<std::string, std::int64_t, std::less<>> defaults;
  std::vector<Exception> exceptions;
  std::vector<Workspace> workspaces;
  std::vector<Key> keys;
  std::vector<Target> targets;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<Deployment> deployments;
  std::vector<Service> services;
  std::vector<Evacuation> evacuations;

  bool IsEvacuated(std::string_view failure_domain) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/// A setting with a fleet default, its unit in its name, and its bounds.
struct SettingRow {
  std::string_view name;
  std::int64_t low;
  std::int64_t high;
  std::int64_t fallback;
};

/// Finds a setting by name. @returns null when there is none
const SettingRow* FindSetting(std::string_view name);

/// Value of a setting for a scope at a moment: the exception that has not
/// expired, else the default.
/// @param now_ms milliseconds since the Unix epoch
std::int64_t SettingFor(const FleetConfig& config,
                        std::string_view setting,
                        std::string_view scope,
                        std::int64_t now_ms);

/// Reads and checks a configuration document.
/// @returns the configuration, or the first error with its path
Result<FleetConfig> ParseFleetConfig(std::string_view document,
                                     std::uint64_t version);

}  // namespace jackdaw
