// Choice of a target.
#include <algorithm>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

// Cost of each running request: it slows the steps of the batch.
constexpr double kRunningCostMs = 1.0;
// Cost of each waiting request: load above the slots, or reported as waiting.
constexpr double kWaitingCostMs = 60.0;
// Duration of a plain request; load counts half below full use, double above.
constexpr double kPlainRequestMs = 25.0;
// Cost of another failure domain: longer round trip and price of the traffic.
constexpr double kOtherDomainCostMs = 12.0;
// Cost of a share of failed requests of 1.
constexpr double kFailureCostMs = 1500.0;
// Time without bytes above which a target is penalized, and cost per ms of it.
constexpr Micros kStallThreshold = 350ms;
constexpr double kStallCostPerMs = 3;
// Penalty that ranks targets in back-off behind all others.
constexpr double kBackoffCostMs = 1e6;
// Age from which on the waiting requests of a load report are ignored.
constexpr Micros kMaxLoadReportAge = 3s;

// What was found of the targets that are not chosen.
struct PickTally {
  bool any = false;
  bool evacuated = false;
  /// Targets outside the allowed regions: any, and any with the model.
  bool any_outside = false;
  bool model_outside = false;
  bool model_held = false;
  bool awake = false;
  Instant rest_until = Instant::max();
  TargetPtr limited;

  void Add(Availability availability, const TargetPtr& target);
  /// Returns why no target was chosen.
  TargetPick Outcome(bool needs_adapter) const;
};

void PickTally::Add(Availability availability, const TargetPtr& target) {
  switch (availability) {
    case Availability::kOutsideHomes:
      any_outside = true;
      model_outside = true;
      return;
    case Availability::kOutsideHomesWithoutModel:
      any_outside = true;
      return;
    case Availability::kEvacuated:
      evacuated = true;
      return;
    default:
      any = true;
  }
  if (availability == Availability::kModelNotHeld) {
    return;
  }
  model_held = true;
  if (availability == Availability::kResting) {
    rest_until = std::min(rest_until, target->notice.rest_until());
    return;
  }
  awake = true;
  if (availability == Availability::kLimited) {
    limited = target;
  }
}

TargetPick PickTally::Outcome(bool needs_adapter) const {
  TargetPick pick;
  if (!any && evacuated) {
    pick.outcome = PickOutcome::kEvacuated;
  } else if (!any) {
    pick.outcome = any_outside ? PickOutcome::kNoHome : PickOutcome::kNoTarget;
  } else if (!model_held) {
    pick.outcome = model_outside ? PickOutcome::kNoHome : PickOutcome::kNoModel;
  } else if (!awake) {
    pick.outcome = PickOutcome::kResting;
    pick.retry_at = rest_until;
  } else if (limited != nullptr) {
    pick.outcome = PickOutcome::kLimited;
    pick.target = limited;
  } else {
    pick.outcome =
        needs_adapter ? PickOutcome::kNoAdapter : PickOutcome::kNoTarget;
  }
  return pick;
}

}  // namespace

double TargetRegistry::Cost(const Target& target,
                            const TargetQuery& query,
                            Instant now) const {
  double cost = 0;
  const Micros stall = target.TimeWithoutBytes(now);
  if (stall > kStallThreshold) {
    cost += kStallCostPerMs * Milliseconds(stall);
  }
  const int load = target.EstimatedLoad(now);
  const bool has_recent_report =
      target.has_load && now - target.load_reported_at < kMaxLoadReportAge;
  if (query.engine != nullptr) {
    const int beyond = std::max(0, load - query.engine->slots);
    const int waiting = has_recent_report ? target.reported_waiting : 0;
    cost += std::max(0.0, Milliseconds(target.prefill_until - now));
    cost += Milliseconds(PrefillTime(target, *query.call, now));
    cost += kRunningCostMs * load + kWaitingCostMs * std::max(beyond, waiting);
  } else {
    const int slots = std::max(1, target.entry.slots);
    const double used_share = static_cast<double>(load) / slots;
    cost += used_share < 1 ? kPlainRequestMs * used_share / 2
                           : kPlainRequestMs * used_share * 2;
  }
  cost += kFailureCostMs * target.FailureShare(now);
  if (target.entry.failure_domain != failure_domain_) {
    cost += kOtherDomainCostMs;
  }
  if (now < target.backoff_until) {
    cost += kBackoffCostMs;
  }
  return cost;
}

// Returns whether a target of the service may be chosen.
// @param adapter `model/adapter`; empty if the request needs none
Availability TargetRegistry::Check(const TargetPtr& target,
                                   const TargetQuery& query,
                                   std::string_view adapter,
                                   Instant now) const {
  const bool lacks_model = query.engine != nullptr &&
                           !query.call->model.empty() &&
                           !target->HoldsModel(query.call->model);
  if (!query.homes.Allows(target->entry.failure_domain)) {
    return lacks_model ? Availability::kOutsideHomesWithoutModel
                       : Availability::kOutsideHomes;
  }
  if (target->evacuated) {
    return Availability::kEvacuated;
  }
  if (lacks_model) {
    return Availability::kModelNotHeld;
  }
  if (target->notice.Rests(now)) {
    return Availability::kResting;
  }
  if (std::ranges::find(query.excluded, target) != query.excluded.end()) {
    return Availability::kExcluded;
  }
  if (!adapter.empty() && !target->adapters.contains(adapter)) {
    return Availability::kAdapterNotHeld;
  }
  return MaySend(*target, now) ? Availability::kUsable : Availability::kLimited;
}

TargetPick TargetRegistry::Pick(const TargetQuery& query, Instant now) const {
  const std::string adapter =
      query.call->adapter.empty() ? std::string() : query.call->ModelName();
  TargetPick pick;
  PickTally tally;
  for (const auto& [id, target] : targets_) {
    if (target->leaving || target->entry.service != query.service) {
      continue;
    }
    const Availability availability = Check(target, query, adapter, now);
    tally.Add(availability, target);
    if (availability != Availability::kUsable) {
      continue;
    }
    ++pick.candidates;
    const double cost = Cost(*target, query, now);
    if (pick.target == nullptr || cost < pick.cost_ms ||
        (cost == pick.cost_ms && id < pick.target->entry.id)) {
      pick.target = target;
      pick.cost_ms = cost;
    }
  }
  if (pick.target == nullptr) {
    return tally.Outcome(!adapter.empty());
  }
  pick.outcome = PickOutcome::kChosen;
  return pick;
}

}  // namespace jackdaw::serving
