#include "placement/planner.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Worth of giving a model its first copy, above any gain in demand served.
constexpr double kUrgentScore = 1e12;
// Part of a recent peak that a copy is kept for.
constexpr double kPeakWeight = 0.5;
// Worth of a second failure domain, as a part of the model's demand.
constexpr double kDomainWeight = 0.25;

bool Has(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::size_t At(int index) {
  return static_cast<std::size_t>(index);
}

}  // namespace

std::string_view NameOf(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kNoCopy:
      return "no copy";
    case PlacementReason::kPinned:
      return "pinned";
    case PlacementReason::kNewVersion:
      return "new version";
    case PlacementReason::kUnmetDemand:
      return "unmet demand";
    case PlacementReason::kSecondDomain:
      return "second failure domain";
    default:
      return "make room";
  }
}

// The plan so far: the fleet with the moves already chosen.
struct Planner::WorkingPlan {
  PlannerInput plan;
  DemandSplit split;
  // Copies that serve now, and those together with the ones on their way.
  std::vector<std::vector<int>> ready;
  std::vector<std::vector<int>> copies;

  void Refresh(double use) {
    split = SplitDemand(plan, use, true);
    ready = CopiesOf(plan, false);
    copies = CopiesOf(plan, true);
  }
  double SpareCapacity(int target, double use) const {
    return std::max(
        0.0, use * plan.targets[At(target)].capacity - split.load[At(target)]);
  }
};

// What is no longer served when a target unloads a model: its demand and, in
// part, its recent peak, beyond what the other copies have room for.
double Planner::EvictionLoss(const WorkingPlan& working,
                             int target,
                             int model) const {
  const PlanModel& asked = working.plan.models[At(model)];
  const auto& copies = working.copies[At(model)];
  const double wanted = options_.count_peaks
                            ? std::max(asked.demand, kPeakWeight * asked.peak)
                            : asked.demand;
  const double share = wanted / static_cast<double>(copies.size());
  double room = 0;
  bool other_domain = false;
  bool had_other_domain = false;
  for (const int other : copies) {
    if (other != target) {
      room += working.SpareCapacity(other, options_.use);
      had_other_domain =
          had_other_domain || working.plan.targets[At(other)].domain !=
                                  working.plan.targets[At(target)].domain;
    }
  }
  for (const int a : copies) {
    for (const int b : copies) {
      other_domain = other_domain || (a != target && b != target &&
                                      working.plan.targets[At(a)].domain !=
                                          working.plan.targets[At(b)].domain);
    }
  }
  const double domain_loss =
      had_other_domain && !other_domain ? kDomainWeight * asked.demand : 0;
  return std::max(0.0, share - room) + domain_loss;
}

// Chooses evictions at a target until a model fits, the least loss first.
bool Planner::ChooseEvictions(const WorkingPlan& working,
                              int target,
                              int model,
                              Candidate& candidate) const {
  const PlanTarget& at = working.plan.targets[At(target)];
  std::int64_t needed = working.plan.models[At(model)].memory_mb - at.free_mb;
  std::vector<PlacementAction> choices;
  for (const int held : at.ready) {
    const PlanModel& other = working.plan.models[At(held)];
    if (held != model && working.ready[At(held)].size() > 1 &&
        !Has(other.pinned, target)) {
      choices.push_back({false, held, target, PlacementReason::kMakeRoom,
                         EvictionLoss(working, target, held)});
    }
  }
  std::sort(choices.begin(), choices.end(),
            [](const PlacementAction& a, const PlacementAction& b) {
              return a.gain != b.gain ? a.gain < b.gain : a.model < b.model;
            });
  for (const PlacementAction& choice : choices) {
    if (needed <= 0) {
      break;
    }
    needed -= working.plan.models[At(choice.model)].memory_mb;
    candidate.evictions.push_back(choice);
  }
  return needed <= 0;
}

void Planner::EvaluateLoad(WorkingPlan& working,
                           int target,
                           int model,
                           Candidate& best) const {
  const PlanTarget& at = working.plan.targets[At(target)];
  const PlanModel& asked = working.plan.models[At(model)];
  const auto& copies = working.copies[At(model)];
  if (!at.usable || Has(at.ready, model) || Has(at.incoming, model) ||
      !Has(asked.targets, target)) {
    return;
  }
  Candidate candidate;
  candidate.load = {true, model, target, PlacementReason::kUnmetDemand, 0};
  const double unmet = working.split.unmet[At(model)];
  candidate.load.gain =
      std::min(unmet, working.SpareCapacity(target, options_.use));
  const bool same_domain =
      std::all_of(copies.begin(), copies.end(), [&](int other) {
        return working.plan.targets[At(other)].domain == at.domain;
      });
  const double domain_gain =
      !copies.empty() && !same_domain && copies.size() == 1
          ? kDomainWeight * asked.demand
          : 0;
  candidate.score = candidate.load.gain + domain_gain;
  if (domain_gain > candidate.load.gain) {
    candidate.load.reason = PlacementReason::kSecondDomain;
  }
  const bool old_only =
      !copies.empty() &&
      std::all_of(copies.begin(), copies.end(), [&](int other) {
        return Has(working.plan.targets[At(other)].stale, model);
      });
  const bool urgent = copies.empty() || old_only || Has(asked.pinned, target);
  if (urgent) {
    candidate.load.reason = copies.empty() ? PlacementReason::kNoCopy
                            : old_only     ? PlacementReason::kNewVersion
                                           : PlacementReason::kPinned;
    const double rank = copies.empty() ? (asked.waiting ? 3 : 2) : 1;
    candidate.score = kUrgentScore * rank + asked.demand;
  } else if (candidate.score < options_.min_gain * at.capacity) {
    return;
  }
  if (!ChooseEvictions(working, target, model, candidate)) {
    return;
  }
  double loss = 0;
  for (const PlacementAction& eviction : candidate.evictions) {
    loss += eviction.gain;
  }
  if (!urgent && candidate.score < options_.min_gain_to_loss * loss +
                                       options_.min_gain * at.capacity) {
    return;
  }
  candidate.score -= options_.min_gain_to_loss * loss;
  if (candidate.score > best.score) {
    best = std::move(candidate);
  }
}

std::vector<PlacementAction> Planner::Plan(const PlannerInput& plan,
                                           std::span<const int> own_targets,
                                           int max_loads) const {
  WorkingPlan working{plan, {}, {}, {}};
  std::vector<PlacementAction> actions;
  for (int round = 0; round < max_loads; ++round) {
    working.Refresh(options_.use);
    Candidate best;
    for (const int target : own_targets) {
      for (std::size_t m = 0; m < plan.models.size(); ++m) {
        EvaluateLoad(working, target, static_cast<int>(m), best);
      }
    }
    if (best.score <= 0) {
      break;
    }
    PlanTarget& at = working.plan.targets[At(best.load.target)];
    for (const PlacementAction& eviction : best.evictions) {
      CheckInvariant(working.ready[At(eviction.model)].size() > 1,
                     "a model's last copy is never unloaded");
      std::erase(at.ready, eviction.model);
      at.free_mb += plan.models[At(eviction.model)].memory_mb;
      actions.push_back(eviction);
    }
    at.incoming.push_back(best.load.model);
    at.free_mb -= plan.models[At(best.load.model)].memory_mb;
    CheckInvariant(at.free_mb >= 0, "a plan never overcommits a target");
    actions.push_back(best.load);
  }
  return actions;
}

}  // namespace jackdaw
