#pragma once

#include <algorithm>

#include "routing/candidate.h"

namespace jackdaw {

/// Picks the candidates in turn.
class RoundRobin {
 public:
  std::size_t Choose(std::span<const Candidate> candidates,
                     const RoutingContext& /*context*/,
                     std::uint64_t /*random*/) {
    return static_cast<std::size_t>(next_++ % candidates.size());
  }

 private:
  std::uint64_t next_ = 0;
};

/// Returns the index of the candidate with the least cost. A random candidate
/// wins a tie if it is among the best, else the first of the best does, so that
/// instances with the same view do not all pick the same one.
template <typename Cost>
std::size_t IndexOfLeastCost(std::span<const Candidate> candidates,
                             std::uint64_t random,
                             Cost cost) {
  std::size_t best = static_cast<std::size_t>(random % candidates.size());
  auto best_cost = cost(candidates[best]);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto candidate_cost = cost(candidates[i]);
    if (candidate_cost < best_cost) {
      best = i;
      best_cost = candidate_cost;
    }
  }
  return best;
}

/// Picks the candidate with the fewest requests of this instance in flight.
struct LeastOutstanding {
  static std::size_t Choose(std::span<const Candidate> candidates,
                            const RoutingContext& /*context*/,
                            std::uint64_t random) {
    return IndexOfLeastCost(candidates, random, [](const Candidate& candidate) {
      return candidate.outstanding;
    });
  }
};

/// Picks the candidate with the fewest requests at its last report, counted as
/// at least those that this instance has in flight there.
struct LeastReported {
  static std::size_t Choose(std::span<const Candidate> candidates,
                            const RoutingContext& /*context*/,
                            std::uint64_t random) {
    return IndexOfLeastCost(candidates, random, [](const Candidate& candidate) {
      return std::max(candidate.outstanding,
                      candidate.running + candidate.waiting);
    });
  }
};

/// Picks the one of two random candidates with fewer known requests.
struct TwoChoices {
  static std::size_t Choose(std::span<const Candidate> candidates,
                            const RoutingContext& /*context*/,
                            std::uint64_t random) {
    const std::size_t count = candidates.size();
    const auto first = static_cast<std::size_t>(random % count);
    if (count == 1) {
      return first;
    }
    const std::size_t step =
        1 + static_cast<std::size_t>((random >> 32) % (count - 1));
    const std::size_t second = (first + step) % count;
    return KnownRequests(candidates[second]) < KnownRequests(candidates[first])
               ? second
               : first;
  }

  /// Returns the number of requests at the target: those of the last report and
  /// the dispatches that it may not include yet, but at least those that this
  /// instance has in flight there.
  static std::int64_t KnownRequests(const Candidate& candidate) {
    return std::max(candidate.outstanding, candidate.running +
                                               candidate.waiting +
                                               candidate.unreported_dispatches);
  }
};

static_assert(RoutePolicy<RoundRobin> && RoutePolicy<LeastOutstanding> &&
              RoutePolicy<LeastReported> && RoutePolicy<TwoChoices>);

}  // namespace jackdaw
