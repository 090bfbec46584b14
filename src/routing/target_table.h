#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "core/time.h"
#include "routing/candidate.h"
#include "routing/prefix_history.h"
#include "routing/target_report.h"

namespace jackdaw {

/// What a request requires of a target.
struct TargetRequirements {
  /// Model, empty for a plain service.
  std::string_view model;
  /// Plain service, empty for a model.
  std::string_view service;
  /// Targets already tried for this request.
  std::span<const std::string> excluded;
  /// Target to pick if it can serve the request; empty for none.
  std::string_view preferred = {};
  /// Adapter, empty for none.
  std::string_view adapter = {};
  std::int64_t prompt_tokens = 0;
  /// Prefixes of the prompt, null for none.
  const PrefixChain* prefixes = nullptr;
};

/// A target picked for a request.
struct PickedTarget {
  std::string name;
  std::string address;
  /// Incarnation that the target last reported, 0 where not known.
  std::int64_t incarnation = 0;
  /// Priority in the engine's own queue; lower runs first.
  std::int32_t priority = 0;
};

/// One instance's view of the targets: the last load report of each, this
/// instance's recent dispatches, and failures. Selects the targets that can
/// serve a request.
class TargetTable {
 public:
  /// @param failure_domain of this instance; empty where it does not matter
  /// @param prefix_slots maximum number of entries in the prefix history, a
  /// power of two
  TargetTable(std::string failure_domain, std::size_t prefix_slots);

  void OnConfig(Instant now, const FleetConfig& config);
  /// Sets the number of instances that route to the same targets.
  void OnInstances(std::int64_t instances);
  void OnReport(Instant now,
                std::string_view target,
                const TargetReport& report);
  /// Records that a load report or a connection of the target failed.
  void OnFailure(Instant now, std::string_view target);
  void OnDispatched(Instant now,
                    std::string_view target,
                    const TargetRequirements& requirements);
  void OnFinished(std::string_view target);

  /// Returns the targets that can serve the request now; valid until the next
  /// call. @param random decides whether this instance may use a target that
  /// warms up
  std::span<const Candidate> Candidates(Instant now,
                                        const TargetRequirements& requirements,
                                        std::uint64_t random);
  PickedTarget At(std::uint32_t index) const;
  /// @returns the index of a target, nothing where it is not configured
  std::optional<std::uint32_t> Find(std::string_view target) const;
  std::int64_t instances() const { return instances_; }
  std::size_t size() const { return states_.size(); }

 private:
  struct State {
    std::string name;
    std::string address;
    std::string failure_domain;
    TargetKind kind = TargetKind::kEngine;
    std::int64_t outstanding = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t incarnation = 0;
    // Dispatches of this instance since the last report, and in the interval
    // between the last two reports. As reports lag, the last one may not
    // include the latter yet.
    std::int64_t dispatches_since_report = 0;
    std::int64_t dispatches_previous_interval = 0;
    Instant down_until{};
    // Start of the warm-up; the epoch where the target is warm.
    Instant warmup_started_at{};
    int failures = 0;
    bool leaving = false;
    // The operator has evacuated the failure domain.
    bool evacuated = false;
    bool reported = false;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
  };
  using IndicesByName =
      std::map<std::string, std::vector<std::uint32_t>, std::less<>>;

  bool CanServe(Instant now,
                const State& state,
                const TargetRequirements& requirements) const;
  bool IsWithinWarmupLimit(Instant now,
                           const State& state,
                           std::uint64_t random) const;
  Candidate MakeCandidate(Instant now,
                          std::uint32_t index,
                          const TargetRequirements& requirements) const;
  State* FindState(std::string_view target);

  std::string failure_domain_;
  std::int64_t instances_ = 1;
  std::vector<State> states_;
  std::map<std::string, std::uint32_t, std::less<>> names_;
  IndicesByName by_model_;
  IndicesByName by_service_;
  PrefixHistory prefixes_;
  std::vector<Candidate> candidates_;
};

}  // namespace jackdaw
