#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Kind of a route, which decides whether its requests may be repeated.
enum class RouteKind : std::uint8_t { kIdempotent, kAtMostOnce, kStream };

/// Part of a route's traffic that goes to one service.
struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

/// Where requests of a host and path go, and how they are handled.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kAtMostOnce;
  /// Whether another target may continue a stream after a broken connection.
  bool resumable = false;
  /// Whether requests need no key.
  bool open = false;
  /// Longest time that a request may wait for its complete answer.
  Micros time_limit{};
  /// Time within which an answer counts as on time.
  Micros latency_objective{};
  /// Longest pause between two events for a stream to count as on time.
  Micros pause_objective{};
  /// 0 is the most urgent.
  int priority = 5;
  int max_attempts = 1;
  std::vector<ServiceShare> services;
  /// Regions whose targets may get the requests; empty for all.
  std::vector<std::string> home_regions;

  /// Whether the request may be sent to a second target after a first one may
  /// have run it.
  bool Repeatable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// A model that targets of a service can be ordered to load.
struct ModelSpec {
  std::string name;
  double weights_mb = 0;
  double adapter_mb = 0;
  int adapters = 0;
  Micros load_time{};
};

/// Capacity of every model engine of a service.
struct EngineSpec {
  int slots = 0;
  /// Capacity of the KV cache, in tokens.
  double kv_tokens = 0;
  /// Memory for the weights of models and adapters.
  double weights_mb = 0;
  int adapter_slots = 0;
  /// Model loads from the weight store that may start per second, over all
  /// targets.
  double loads_per_second = 0;
  std::vector<ModelSpec> models;
};

/// A set of interchangeable targets.
struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;
  /// Time for which a target is cold after its start.
  Micros cold_time{};
  /// Requests a second that a cold target sustains; 0 if there is no bound.
  double cold_per_second = 0;
  std::optional<EngineSpec> engine;
};

/// A customer with a rate and a burst over the whole fleet.
struct Workspace {
  std::string name;
  std::optional<int> priority;
  /// Units (tokens or requests) per second; unlimited if the burst is 0, too.
  double rate = 0;
  double burst = 0;
  /// Whether a unit is a token; otherwise it is a request.
  bool counts_tokens = false;
  /// Units charged for a request that states no token count.
  double default_units = 1;
  /// Regions whose targets may get the requests; empty for all.
  std::vector<std::string> home_regions;
};

/// Limits on the size of a caller's request and on the time it may take.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4ULL * 1024 * 1024;
  Micros header_time = 3s;
  Micros idle_time = 15s;
};

/// One complete version of the configuration that operators set.
struct ServingConfig {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  /// Index of the workspace that holds a key, by the digest of the key.
  std::unordered_map<std::string, std::size_t> key_owners;
  CallerLimits limits;

  /// Finds the route of the host whose prefix is the longest match of the path.
  /// @param path path without the query @returns null when none matches
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(std::string_view name) const;
  const Workspace* FindWorkspace(std::string_view name) const;
  /// @returns null for a key that no workspace holds
  const Workspace* FindOwner(std::string_view key) const;
};

/// Digest under which a key is stored and compared.
std::string KeyDigest(std::string_view key);

}  // namespace jackdaw::serving
