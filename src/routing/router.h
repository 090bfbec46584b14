#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/random.h"
#include "routing/expected_time.h"
#include "routing/target_table.h"

namespace jackdaw {

/// Options of a router.
struct RouterOptions {
  /// Failure domain of this instance; empty where it does not matter.
  std::string failure_domain;
  /// Seed of the random choices among targets.
  std::uint64_t seed = 1;
  /// Maximum number of entries in the prefix history, a power of two.
  std::size_t prefix_slots = 16'384;
};

/// Picks a target for each request among those that can serve it.
/// @tparam Policy policy that chooses among the candidates
template <RoutePolicy Policy>
class BasicRouter {
 public:
  explicit BasicRouter(RouterOptions options = {}, Policy policy = Policy())
      : table_(std::move(options.failure_domain), options.prefix_slots),
        policy_(std::move(policy)),
        random_(options.seed) {}

  void OnConfig(Instant now, const FleetConfig& config) {
    table_.OnConfig(now, config);
  }
  void OnInstances(std::int64_t instances) { table_.OnInstances(instances); }
  std::int64_t instances() const { return table_.instances(); }
  void OnReport(Instant now,
                std::string_view target,
                const TargetReport& report) {
    table_.OnReport(now, target, report);
  }
  /// Records that a load report or a connection of the target failed.
  void OnFailure(Instant now, std::string_view target) {
    table_.OnFailure(now, target);
  }

  /// @returns the target, or nothing where none can serve the request now
  std::optional<PickedTarget> Pick(Instant now,
                                   const TargetRequirements& requirements) {
    const std::uint64_t random = random_.Next();
    const auto candidates = table_.Candidates(now, requirements, random);
    if (candidates.empty()) {
      return std::nullopt;
    }
    if (!requirements.preferred.empty()) {
      const auto preferred = table_.Find(requirements.preferred);
      for (const auto& candidate : candidates) {
        if (preferred && candidate.index == *preferred) {
          return table_.At(candidate.index);
        }
      }
    }
    const RoutingContext context{requirements.prompt_tokens,
                                 table_.instances()};
    const std::size_t chosen = policy_.Choose(candidates, context, random);
    return table_.At(candidates[chosen].index);
  }

  void OnDispatched(Instant now,
                    std::string_view target,
                    const TargetRequirements& requirements) {
    table_.OnDispatched(now, target, requirements);
  }
  void OnFinished(std::string_view target) { table_.OnFinished(target); }

 private:
  TargetTable table_;
  Policy policy_;
  Random random_;
};

/// The router that the daemon uses.
using Router = BasicRouter<ExpectedTime>;

}  // namespace jackdaw
