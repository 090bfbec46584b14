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

/// What a request needs of a target.
struct TargetRequirements {
  /// Model, empty for a plain service.
  std::string_view model;
  /// Plain service, empty for a model.
  std::string_view service;
  /// Targets already tried for this request.
  std::span<const std::string> excluded;
  /// Target to take where it can serve the request; empty for none.
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
  /// For the engine's own queue; lower runs first.
  std::int32_t priority = 0;
};

/// What one instance knows of the targets: the last report of each, its own
/// dispatches since, failures, and which of them can serve a request now.
class TargetTable {
 public:
  /// @param failure_domain of this instance; empty where it does not matter
  /// @param prefix_slots entries of the prefix history, a power of two
  TargetTable(std::string failure_domain, std::size_t prefix_slots);

  void OnConfig(Instant now, const FleetConfig& config);
  /// Number of instances that route to the same targets.
  void OnInstances(std::int64_t instances);
  void OnReport(Instant now,
                std::string_view target,
                const TargetReport& report);
  /// A report or a connection failed.
  void OnFailure(Instant now, std::string_view target);
  void OnDispatched(Instant now,
                    std::string_view target,
                    const TargetRequirements& requirements);
  void OnFinished(std::string_view target);

  /// Targets that can serve the request now.
  /// @param random spreads a target that warms up over the instances
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
    // Own dispatches since the last report, and in the interval before it:
    // reports lag.
    std::int64_t dispatches_since_report = 0;
    std::int64_t dispatches_before_report = 0;
    Instant down_until{};
    // Moment from which the target warms up; the epoch where it is warm.
    Instant warmup_started_at{};
    int failures = 0;
    bool leaving = false;
    bool reported = false;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
  };
  using Index = std::map<std::string, std::vector<std::uint32_t>, std::less<>>;

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
  Index by_model_;
  Index by_service_;
  PrefixHistory prefixes_;
  std::vector<Candidate> candidates_;
};

}  // namespace jackdaw
