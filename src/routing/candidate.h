#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

#include "core/time.h"

namespace jackdaw {

/// A target that can serve a request, as a routing policy sees it.
struct Candidate {
  /// Place of the target in the router's table.
  std::uint32_t index = 0;
  /// Requests of this instance in flight at the target.
  std::int64_t outstanding = 0;
  /// Requests that it ran and held waiting at its last report.
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  /// Dispatches of this instance since that report was made.
  std::int64_t unreported_dispatches = 0;
  /// Prompt tokens that it probably holds in its prefix cache.
  std::int64_t cached_tokens = 0;
  bool adapter_resident = true;
  bool same_domain = true;
};

/// What a policy knows of the request.
struct RoutingContext {
  std::int64_t prompt_tokens = 0;
  /// Instances that see the same lagged reports.
  std::int64_t instances = 1;
};

/// A routing policy: picks one of at least one candidate.
/// `random` is the only randomness it may use.
template <typename T>
concept RoutePolicy = requires(T policy,
                               std::span<const Candidate> candidates,
                               const RoutingContext& context,
                               std::uint64_t random) {
  { policy.Choose(candidates, context, random) } -> std::same_as<std::size_t>;
};

}  // namespace jackdaw
