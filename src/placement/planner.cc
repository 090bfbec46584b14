#include "placement/planner.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Worth of giving a model its first copy, above any gain in demand served.
constexpr double kFirstCopyWorth = 1e12;
// Part of a recent peak that a copy is kept for.
constexpr double kPeakPart = 0.5;
// Worth of a second failure domain, as a part of the model's demand.
constexpr double kDomainPart = 0.25;

bool Has(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::size_t At(int index) {
  return static_cast<std::size_t>(index);
}

}  // namespace

std::string_view NameOf(MoveReason reason) {
  switch (reason) {
    case MoveReason::kNoCopy:
      return "no copy";
    case MoveReason::kPinned:
      return "pinned";
    case MoveReason::kNewVersion:
      return "new version";
    case MoveReason::kUnmetDemand:
      return "unmet demand";
    case MoveReason::kSecondDomain:
      return "second failure domain";
    default:
      return "make room";
  }
}

// The plan so far: the fleet with the moves already chosen.
struct Planner::Work {
  FleetPlan plan;
  DemandSplit split;
  // Copies that serve now, and those together with the ones on their way.
  std::vector<std::vector<int>> ready;
  std::vector<std::vector<int>> copies;

  void Refresh(double use) {
    split = SplitDemand(plan, use, true);
    ready = CopiesOf(plan, false);
    copies = CopiesOf(plan, true);
  }
  double Spare(int target, double use) const {
    return std::max(
        0.0, use * plan.targets[At(target)].capacity - split.load[At(target)]);
  }
};

// What is no longer served when a target unloads a model: its demand and, in
// part, its recent peak, beyond what the other copies have room for.
double Planner::Loss(const Work& work, int target, int model) const {
  const PlanModel& asked = work.plan.models[At(model)];
  const auto& copies = work.copies[At(model)];
  const double wanted = shape_.keep_peaks
                            ? std::max(asked.demand, kPeakPart * asked.peak)
                            : asked.demand;
  const double share = wanted / static_cast<double>(copies.size());
  double room = 0;
  bool other_domain = false;
  bool had_other_domain = false;
  for (const int other : copies) {
    if (other != target) {
      room += work.Spare(other, shape_.use);
      had_other_domain =
          had_other_domain || work.plan.targets[At(other)].domain !=
                                  work.plan.targets[At(target)].domain;
    }
  }
  for (const int a : copies) {
    for (const int b : copies) {
      other_domain = other_domain || (a != target && b != target &&
                                      work.plan.targets[At(a)].domain !=
                                          work.plan.targets[At(b)].domain);
    }
  }
  const double domain_loss =
      had_other_domain && !other_domain ? kDomainPart * asked.demand : 0;
  return std::max(0.0, share - room) + domain_loss;
}

// Chooses evictions at a target until a model fits, the least loss first.
bool Planner::MakeRoom(const Work& work,
                       int target,
                       int model,
                       Option& option) const {
  const PlanTarget& at = work.plan.targets[At(target)];
  std::int64_t needed = work.plan.models[At(model)].memory_mb - at.free_mb;
  std::vector<Move> choices;
  for (const int held : at.ready) {
    const PlanModel& other = work.plan.models[At(held)];
    if (held != model && work.ready[At(held)].size() > 1 &&
        !Has(other.pinned, target)) {
      choices.push_back({false, held, target, MoveReason::kMakeRoom,
                         Loss(work, target, held)});
    }
  }
  std::sort(choices.begin(), choices.end(), [](const Move& a, const Move& b) {
    return a.gain != b.gain ? a.gain < b.gain : a.model < b.model;
  });
  for (const Move& choice : choices) {
    if (needed <= 0) {
      break;
    }
    needed -= work.plan.models[At(choice.model)].memory_mb;
    option.evictions.push_back(choice);
  }
  return needed <= 0;
}

void Planner::Consider(Work& work, int target, int model, Option& best) const {
  const PlanTarget& at = work.plan.targets[At(target)];
  const PlanModel& asked = work.plan.models[At(model)];
  const auto& copies = work.copies[At(model)];
  if (!at.usable || Has(at.ready, model) || Has(at.incoming, model) ||
      !Has(asked.targets, target)) {
    return;
  }
  Option option;
  option.load = {true, model, target, MoveReason::kUnmetDemand, 0};
  const double unmet = work.split.unmet[At(model)];
  option.load.gain = std::min(unmet, work.Spare(target, shape_.use));
  const bool same_domain =
      std::all_of(copies.begin(), copies.end(), [&](int other) {
        return work.plan.targets[At(other)].domain == at.domain;
      });
  const double domain_gain =
      !copies.empty() && !same_domain && copies.size() == 1
          ? kDomainPart * asked.demand
          : 0;
  option.worth = option.load.gain + domain_gain;
  if (domain_gain > option.load.gain) {
    option.load.reason = MoveReason::kSecondDomain;
  }
  const bool old_only =
      !copies.empty() &&
      std::all_of(copies.begin(), copies.end(), [&](int other) {
        return Has(work.plan.targets[At(other)].stale, model);
      });
  const bool urgent = copies.empty() || old_only || Has(asked.pinned, target);
  if (urgent) {
    option.load.reason = copies.empty() ? MoveReason::kNoCopy
                         : old_only     ? MoveReason::kNewVersion
                                        : MoveReason::kPinned;
    const double rank = copies.empty() ? (asked.waiting ? 3 : 2) : 1;
    option.worth = kFirstCopyWorth * rank + asked.demand;
  } else if (option.worth < shape_.least_gain * at.capacity) {
    return;
  }
  if (!MakeRoom(work, target, model, option)) {
    return;
  }
  double loss = 0;
  for (const Move& eviction : option.evictions) {
    loss += eviction.gain;
  }
  if (!urgent && option.worth < shape_.gain_over_loss * loss +
                                    shape_.least_gain * at.capacity) {
    return;
  }
  option.worth -= shape_.gain_over_loss * loss;
  if (option.worth > best.worth) {
    best = std::move(option);
  }
}

std::vector<Move> Planner::Plan(const FleetPlan& plan,
                                std::span<const int> own,
                                int most) const {
  Work work{plan, {}, {}, {}};
  std::vector<Move> moves;
  for (int round = 0; round < most; ++round) {
    work.Refresh(shape_.use);
    Option best;
    for (const int target : own) {
      for (std::size_t m = 0; m < plan.models.size(); ++m) {
        Consider(work, target, static_cast<int>(m), best);
      }
    }
    if (best.worth <= 0) {
      break;
    }
    PlanTarget& at = work.plan.targets[At(best.load.target)];
    for (const Move& eviction : best.evictions) {
      CheckInvariant(work.ready[At(eviction.model)].size() > 1,
                     "a model's last copy is never unloaded");
      std::erase(at.ready, eviction.model);
      at.free_mb += plan.models[At(eviction.model)].memory_mb;
      moves.push_back(eviction);
    }
    at.incoming.push_back(best.load.model);
    at.free_mb -= plan.models[At(best.load.model)].memory_mb;
    CheckInvariant(at.free_mb >= 0, "a plan never overcommits a target");
    moves.push_back(best.load);
  }
  return moves;
}

}  // namespace jackdaw
