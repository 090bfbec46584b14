#pragma once

#include "routing/policies.h"

namespace jackdaw {

/// Costs that make up the expected time to first token, in microseconds.
struct ExpectedCosts {
  std::int64_t running_us = 1'500;
  std::int64_t waiting_us = 40'000;
  std::int64_t prompt_token_us = 125;
  std::int64_t adapter_us = 15'000;
  std::int64_t other_domain_us = 4'000;
  /// Up to so many instances each weighs all candidates. Beyond, each weighs a
  /// random part, two at least: what all see empty in the same late report is
  /// then not chosen by all.
  std::int64_t full_choice_instances = 8;
};

/// Takes the candidate with the least expected time to first token: load at
/// the last report, corrected by own dispatches since, plus the prompt tokens
/// that are not cached, the adapter's load and the way to another failure
/// domain.
class ExpectedTime {
 public:
  explicit ExpectedTime(const ExpectedCosts& costs = {}) : costs_(costs) {}

  std::size_t Choose(std::span<const Candidate> candidates,
                     const RouteWork& work,
                     std::uint64_t random) const {
    const auto count = static_cast<std::int64_t>(candidates.size());
    const std::int64_t part = std::max<std::int64_t>(
        2, count * costs_.full_choice_instances / work.instances);
    if (part >= count) {
      return LeastCost(candidates, random, [&](const Candidate& candidate) {
        return Expect(candidate, work);
      });
    }
    return LeastOfPart(candidates, work, random, part);
  }

  /// @returns the expected time to first token in microseconds
  std::int64_t Expect(const Candidate& candidate, const RouteWork& work) const {
    const std::int64_t sent = candidate.sent_since;
    const std::int64_t running =
        std::max(candidate.outstanding, candidate.running + sent);
    const std::int64_t uncached =
        std::max<std::int64_t>(0, work.prompt_tokens - candidate.cached_tokens);
    return running * costs_.running_us + candidate.waiting * costs_.waiting_us +
           sent * work.prompt_tokens * costs_.prompt_token_us / 2 +
           uncached * costs_.prompt_token_us +
           (candidate.adapter_resident ? 0 : costs_.adapter_us) +
           (candidate.same_domain ? 0 : costs_.other_domain_us);
  }

 private:
  // Weighs `part` candidates that stand a random step apart.
  std::size_t LeastOfPart(std::span<const Candidate> candidates,
                          const RouteWork& work,
                          std::uint64_t random,
                          std::int64_t part) const {
    const std::size_t count = candidates.size();
    std::size_t at = static_cast<std::size_t>(random % count);
    std::size_t best = at;
    for (std::int64_t i = 1; i < part; ++i) {
      random = random * 0x9e3779b97f4a7c15ULL + 1;
      at = (at + 1 + static_cast<std::size_t>((random >> 33) % (count - 1))) %
           count;
      if (Expect(candidates[at], work) < Expect(candidates[best], work)) {
        best = at;
      }
    }
    return best;
  }

  ExpectedCosts costs_;
};

static_assert(RoutePolicy<ExpectedTime>);

}  // namespace jackdaw
