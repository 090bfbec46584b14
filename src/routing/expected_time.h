#pragma once

#include "routing/policies.h"

namespace jackdaw {

/// Components of the expected time to first token, in microseconds: for each
/// running request, each waiting request, each uncached prompt token, the load
/// of an adapter, and a target in another failure domain.
struct ExpectedTimeCosts {
  std::int64_t running_us = 1'500;
  std::int64_t waiting_us = 40'000;
  std::int64_t prompt_token_us = 125;
  std::int64_t adapter_us = 15'000;
  std::int64_t other_domain_us = 4'000;
  /// Up to this number of instances, each compares all candidates. With more,
  /// each compares a random sample of at least two, so that they do not all
  /// choose the target that the same lagging report shows as empty.
  std::int64_t full_scan_instances = 8;
};

/// Picks the candidate with the least expected time to first token: the load at
/// the last report, corrected by this instance's dispatches that the report may
/// not include yet, plus the uncached prompt tokens, the load of the adapter
/// and the delay to another failure domain.
class ExpectedTime {
 public:
  explicit ExpectedTime(const ExpectedTimeCosts& costs = {}) : costs_(costs) {}

  std::size_t Choose(std::span<const Candidate> candidates,
                     const RoutingContext& context,
                     std::uint64_t random) const {
    const auto count = static_cast<std::int64_t>(candidates.size());
    const std::int64_t sample_size = std::max<std::int64_t>(
        2, count * costs_.full_scan_instances / context.instances);
    if (sample_size >= count) {
      return IndexOfLeastCost(
          candidates, random, [&](const Candidate& candidate) {
            return EstimateTimeToFirstToken(candidate, context);
          });
    }
    return LeastCostOfSample(candidates, context, random, sample_size);
  }

  /// @returns the expected time to first token in microseconds. Each dispatch
  /// that the report may not include yet adds half the time of a prompt as long
  /// as this request's.
  std::int64_t EstimateTimeToFirstToken(const Candidate& candidate,
                                        const RoutingContext& context) const {
    const std::int64_t sent = candidate.unreported_dispatches;
    const std::int64_t running =
        std::max(candidate.outstanding, candidate.running + sent);
    const std::int64_t uncached = std::max<std::int64_t>(
        0, context.prompt_tokens - candidate.cached_tokens);
    return running * costs_.running_us + candidate.waiting * costs_.waiting_us +
           sent * context.prompt_tokens * costs_.prompt_token_us / 2 +
           uncached * costs_.prompt_token_us +
           (candidate.adapter_resident ? 0 : costs_.adapter_us) +
           (candidate.same_domain ? 0 : costs_.other_domain_us);
  }

 private:
  // Draws `sample_size` candidates and returns the best. No candidate is drawn
  // twice in a row, but one may be drawn again later.
  std::size_t LeastCostOfSample(std::span<const Candidate> candidates,
                                const RoutingContext& context,
                                std::uint64_t random,
                                std::int64_t sample_size) const {
    const std::size_t count = candidates.size();
    std::size_t index = static_cast<std::size_t>(random % count);
    std::size_t best = index;
    for (std::int64_t i = 1; i < sample_size; ++i) {
      random = random * 0x9e3779b97f4a7c15ULL + 1;
      index =
          (index + 1 + static_cast<std::size_t>((random >> 33) % (count - 1))) %
          count;
      if (EstimateTimeToFirstToken(candidates[index], context) <
          EstimateTimeToFirstToken(candidates[best], context)) {
        best = index;
      }
    }
    return best;
  }

  ExpectedTimeCosts costs_;
};

static_assert(RoutePolicy<ExpectedTime>);

}  // namespace jackdaw
