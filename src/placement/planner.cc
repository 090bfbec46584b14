#include "placement/planner.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Score of an urgent load, in tokens per second for each level of urgency. It
// is larger than any demand, so that urgent loads come first.
constexpr double kUrgentScore = 1e12;
// Fraction of the recent peak that counts as demand when a copy is evicted.
constexpr double kPeakWeight = 0.5;
// Value of a copy in a second failure domain, as a fraction of the model's
// demand.
constexpr double kDomainWeight = 0.25;

bool Has(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::size_t ToIndex(int index) {
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

// The fleet as it will be after the loads and unloads chosen so far.
struct Planner::WorkingPlan {
  PlannerInput input;
  DemandSplit split;
  // Targets of each model: those that serve it now, and these together with
  // those that are loading it.
  std::vector<std::vector<int>> ready;
  std::vector<std::vector<int>> copies;

  void Refresh(double max_utilization) {
    split = SplitDemand(input, max_utilization, true);
    ready = CopiesOf(input, false);
    copies = CopiesOf(input, true);
  }
  double SpareCapacity(int target, double max_utilization) const {
    return std::max(0.0,
                    max_utilization * input.targets[ToIndex(target)].capacity -
                        split.load[ToIndex(target)]);
  }
};

// Returns the loss, in tokens per second, when a target unloads a model: the
// copy's share of the demand (or of a fraction of the recent peak, if that is
// larger) beyond the spare capacity of the other copies. If the remaining
// copies would no longer span two failure domains, kDomainWeight of the demand
// is added.
double Planner::EvictionLoss(const WorkingPlan& working,
                             int target,
                             int model) const {
  const PlanModel& model_info = working.input.models[ToIndex(model)];
  const auto& copies = working.copies[ToIndex(model)];
  const double wanted_demand =
      options_.count_peaks
          ? std::max(model_info.demand, kPeakWeight * model_info.peak)
          : model_info.demand;
  const double share = wanted_demand / static_cast<double>(copies.size());
  double spare = 0;
  bool spans_domains_after = false;
  bool spans_domains_now = false;
  for (const int other : copies) {
    if (other != target) {
      spare += working.SpareCapacity(other, options_.max_utilization);
      spans_domains_now = spans_domains_now ||
                          working.input.targets[ToIndex(other)].domain !=
                              working.input.targets[ToIndex(target)].domain;
    }
  }
  for (const int a : copies) {
    for (const int b : copies) {
      spans_domains_after =
          spans_domains_after || (a != target && b != target &&
                                  working.input.targets[ToIndex(a)].domain !=
                                      working.input.targets[ToIndex(b)].domain);
    }
  }
  const double domain_loss = spans_domains_now && !spans_domains_after
                                 ? kDomainWeight * model_info.demand
                                 : 0;
  return std::max(0.0, share - spare) + domain_loss;
}

// Chooses evictions at a target, smallest loss first, until the model fits.
// @returns whether it fits
bool Planner::ChooseEvictions(const WorkingPlan& working,
                              int target,
                              int model,
                              Candidate& candidate) const {
  const PlanTarget& host = working.input.targets[ToIndex(target)];
  std::int64_t needed =
      working.input.models[ToIndex(model)].memory_mb - host.free_mb;
  std::vector<PlacementAction> choices;
  for (const int resident : host.ready) {
    const PlanModel& other = working.input.models[ToIndex(resident)];
    if (resident != model && working.ready[ToIndex(resident)].size() > 1 &&
        !Has(other.pinned, target)) {
      choices.push_back({false, resident, target, PlacementReason::kMakeRoom,
                         EvictionLoss(working, target, resident)});
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
    needed -= working.input.models[ToIndex(choice.model)].memory_mb;
    candidate.evictions.push_back(choice);
  }
  return needed <= 0;
}

// Replaces `best` when loading the model at the target has a higher score.
void Planner::EvaluateLoad(WorkingPlan& working,
                           int target,
                           int model,
                           Candidate& best) const {
  const PlanTarget& host = working.input.targets[ToIndex(target)];
  const PlanModel& model_info = working.input.models[ToIndex(model)];
  const auto& copies = working.copies[ToIndex(model)];
  if (!host.usable || Has(host.ready, model) || Has(host.incoming, model) ||
      !Has(model_info.targets, target)) {
    return;
  }
  Candidate candidate;
  candidate.load = {true, model, target, PlacementReason::kUnmetDemand, 0};
  const double unmet = working.split.unmet[ToIndex(model)];
  candidate.load.gain =
      std::min(unmet, working.SpareCapacity(target, options_.max_utilization));
  const bool same_domain =
      std::all_of(copies.begin(), copies.end(), [&](int other) {
        return working.input.targets[ToIndex(other)].domain == host.domain;
      });
  const double domain_gain =
      !copies.empty() && !same_domain && copies.size() == 1
          ? kDomainWeight * model_info.demand
          : 0;
  candidate.score = candidate.load.gain + domain_gain;
  if (domain_gain > candidate.load.gain) {
    candidate.load.reason = PlacementReason::kSecondDomain;
  }
  const bool only_stale =
      !copies.empty() &&
      std::all_of(copies.begin(), copies.end(), [&](int other) {
        return Has(working.input.targets[ToIndex(other)].stale, model);
      });
  const bool urgent =
      copies.empty() || only_stale || Has(model_info.pinned, target);
  if (urgent) {
    candidate.load.reason = copies.empty() ? PlacementReason::kNoCopy
                            : only_stale   ? PlacementReason::kNewVersion
                                           : PlacementReason::kPinned;
    // In descending urgency: awaited first copy, first copy, new version or
    // pin.
    const double rank = copies.empty() ? (model_info.waiting ? 3 : 2) : 1;
    candidate.score = kUrgentScore * rank + model_info.demand;
  } else if (candidate.score < options_.min_gain * host.capacity) {
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
                                       options_.min_gain * host.capacity) {
    return;
  }
  candidate.score -= options_.min_gain_to_loss * loss;
  if (candidate.score > best.score) {
    best = std::move(candidate);
  }
}

std::vector<PlacementAction> Planner::Plan(const PlannerInput& input,
                                           std::span<const int> own_targets,
                                           int max_loads) const {
  WorkingPlan working{input, {}, {}, {}};
  std::vector<PlacementAction> actions;
  for (int round = 0; round < max_loads; ++round) {
    working.Refresh(options_.max_utilization);
    Candidate best;
    for (const int target : own_targets) {
      for (std::size_t m = 0; m < input.models.size(); ++m) {
        EvaluateLoad(working, target, static_cast<int>(m), best);
      }
    }
    if (best.score <= 0) {
      break;
    }
    PlanTarget& host = working.input.targets[ToIndex(best.load.target)];
    for (const PlacementAction& eviction : best.evictions) {
      CheckInvariant(working.ready[ToIndex(eviction.model)].size() > 1,
                     "the last copy of a model must not be unloaded");
      std::erase(host.ready, eviction.model);
      host.free_mb += input.models[ToIndex(eviction.model)].memory_mb;
      actions.push_back(eviction);
    }
    host.incoming.push_back(best.load.model);
    host.free_mb -= input.models[ToIndex(best.load.model)].memory_mb;
    CheckInvariant(host.free_mb >= 0, "a plan must not overcommit a target");
    actions.push_back(best.load);
  }
  return actions;
}

}  // namespace jackdaw
