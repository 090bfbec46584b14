#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

#include "core/time.h"

namespace jackdaw {

/// A target that can serve a request, as a routing policy sees it.
struct Candidate {
  /// Index of the target in the router's table.
  std::uint32_t index = 0;
  /// Requests of this instance in flight at the target.
  std::int64_t outstanding = 0;
  /// Requests running and waiting at the target, from its last report.
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  /// Dispatches of this instance that the last report may not include yet.
  std::int64_t unreported_dispatches = 0;
  /// Prompt tokens that are probably in the target's prefix cache.
  std::int64_t cached_tokens = 0;
  /// Whether the adapter is resident; true where the request needs none.
  bool adapter_resident = true;
  /// Whether the target is in this instance's failure domain; true where the
  /// instance has none.
  bool same_domain = true;
};

/// Data of the request that a policy may use.
struct RoutingContext {
  std::int64_t prompt_tokens = 0;
  /// Number of instances that see the same lagging reports.
  std::int64_t instances = 1;
};

/// A routing policy. Choose returns the index of one of the candidates, of
/// which there is at least one; `random` is its only source of randomness.
template <typename T>
concept RoutePolicy = requires(T policy,
                               std::span<const Candidate> candidates,
                               const RoutingContext& context,
                               std::uint64_t random) {
  { policy.Choose(candidates, context, random) } -> std::same_as<std::size_t>;
};

}  // namespace jackdaw
