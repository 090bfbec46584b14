// Choice of a target.
#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "gateway/target_registry.h"
#include "gateway/token_account.h"

namespace jackdaw::serving {
namespace {

// Cost of each running request: it slows the steps of the batch.
constexpr double kRunningCostMs = 1.0;
// Cost of each waiting request: load above the slots, or reported as waiting.
constexpr double kWaitingCostMs = 60.0;
// Duration of a plain request; load counts half below full use, double above.
constexpr double kPlainRequestMs = 25.0;
// Cost of the occupied slots of a plain target, if all are.
constexpr double kUsedSlotsCostMs = 12.0;
// The number of requests at a target is known up to this part of its slots.
constexpr int kUncertainPart = 8;
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
  /// The limited target with the fewest requests to ask for, and its count.
  TargetPtr limited;
  int limited_count = 0;
  bool any_limited = false;
  Instant room_at = Instant::max();
  bool full = false;
  Instant full_until = Instant::max();

  void AddFull(Instant until) {
    full = true;
    full_until = std::min(full_until, until);
  }
  void Add(Availability availability, const TargetPtr& target, Instant now);
  void AddLimited(const TargetPtr& target, Instant now);
  /// Returns why no target was chosen.
  TargetPick Outcome(bool needs_adapter) const;
};

void PickTally::Add(Availability availability,
                    const TargetPtr& target,
                    Instant now) {
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
    AddLimited(target, now);
  }
}

// Not even the leader lets a request through to a target that has got all that
// it may get within a second.
void PickTally::AddLimited(const TargetPtr& target, Instant now) {
  any_limited = true;
  const SendWindow& window = target->send_window;
  if (!window.HasRoom(SendKnowledge::kLeader, now)) {
    room_at = std::min(room_at, window.NextRoom(SendKnowledge::kLeader, now));
    return;
  }
  const int count = window.Count(now);
  if (limited == nullptr || count < limited_count) {
    limited = target;
    limited_count = count;
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
  } else if (any_limited) {
    pick.outcome = PickOutcome::kLimited;
    pick.target = limited;
    pick.retry_at = limited == nullptr ? room_at : Instant{};
  } else if (full) {
    pick.outcome = PickOutcome::kFull;
    pick.retry_at = full_until;
  } else {
    pick.outcome =
        needs_adapter ? PickOutcome::kNoAdapter : PickOutcome::kNoTarget;
  }
  return pick;
}

// Ids decide between equal costs, so that the order of the table does not.
bool IsBetter(const TargetPick& a, const TargetPick& b) {
  return a.cost_ms < b.cost_ms ||
         (a.cost_ms == b.cost_ms && a.target->entry.id < b.target->entry.id);
}

// Returns a number from 0 to 1 that is the same for each choice of a request.
double Draw(std::string_view request_id) {
  return static_cast<double>(
             XXH3_64bits(request_id.data(), request_id.size())) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

// Returns the expected wait for a slot. The number of requests is uncertain:
// the wait with a few slots less counts as much, so that a target is not filled
// to its last slot while another has several.
Micros UncertainWait(const LoadForecast& forecast, int slots, Instant now) {
  const int fewer = std::max(1, slots - std::max(1, slots / kUncertainPart));
  return (forecast.WaitForSlot(slots, now) + forecast.WaitForSlot(fewer, now)) /
         2;
}

}  // namespace

// Returns the expected time to the first byte at a target whose service reports
// its speed. The wait for a slot follows from the expected ends of the requests
// there: targets of different speed with the same number of requests differ in
// it. Without the speed the forecast would rest on times that are not known to
// be those of the target, so such services keep the estimate below.
double TargetRegistry::ForecastCost(const Target& target,
                                    const TargetQuery& query,
                                    Instant now) {
  const double ratio = target.speed.Ratio(now);
  const int load = target.EstimatedLoad(now);
  if (query.engine != nullptr) {
    const Micros wait =
        UncertainWait(target.forecast, query.engine->slots, now);
    return Milliseconds(wait + PrefillTime(target, *query.call, now)) +
           std::max(0.0, Milliseconds(target.prefill_until - now)) +
           kRunningCostMs * ratio * load;
  }
  const Micros wait = UncertainWait(target.forecast, target.Slots(), now);
  const double work =
      target.plain_work_ms > 0 ? target.plain_work_ms : kPlainRequestMs;
  const double used_share =
      std::min(1.0, static_cast<double>(load) / target.Slots());
  return Milliseconds(wait) + work * ratio + kUsedSlotsCostMs * used_share;
}

// Returns the expected time to the first byte at a target without a forecast.
double TargetRegistry::EstimatedCost(const Target& target,
                                     const TargetQuery& query,
                                     Instant now) {
  double cost = 0;
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
  return cost;
}

double TargetRegistry::Cost(const Target& target,
                            const TargetQuery& query,
                            Instant now) const {
  double cost = 0;
  const Micros stall = target.TimeWithoutBytes(now);
  if (stall > kStallThreshold) {
    cost += kStallCostPerMs * Milliseconds(stall);
  }
  cost += target.uses_forecast ? ForecastCost(target, query, now)
                               : EstimatedCost(target, query, now);
  cost += kFailureCostMs * target.FailureShare(now);
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
  if (query.engine != nullptr && target->uses_forecast &&
      IsFull(*query.engine, target->forecast, query.call->Tokens(), now)) {
    return Availability::kFull;
  }
  return MaySend(*target, now) ? Availability::kUsable : Availability::kLimited;
}

// Chooses between the best targets of the own failure domain and of the others.
// The decision rests on expected times, which are close enough only where
// targets report their speed. Elsewhere another domain has a constant cost.
TargetPick TargetRegistry::ChooseDomain(const TargetPick& home,
                                        const TargetPick& away,
                                        const TargetQuery& query) const {
  if (away.target == nullptr) {
    return home;
  }
  TargetPick other = away;
  if (!domain_preference_.enabled() || !away.target->uses_forecast) {
    other.cost_ms += kOtherDomainCostMs;
    return home.target == nullptr || IsBetter(other, home) ? other : home;
  }
  DomainChoice choice;
  choice.own_ms = home.target == nullptr
                      ? std::numeric_limits<double>::infinity()
                      : home.cost_ms;
  choice.other_ms = away.cost_ms;
  choice.objective_ms = Milliseconds(query.objective);
  other.domain = domain_preference_.Decide(choice, Draw(query.call->id));
  if (Leaves(other.domain)) {
    return other;
  }
  TargetPick stays = home;
  stays.domain = other.domain;
  return stays;
}

TargetPick TargetRegistry::Pick(const TargetQuery& query, Instant now) const {
  const std::string adapter =
      query.call->adapter.empty() ? std::string() : query.call->ModelName();
  Observe(now);
  TargetPick home;
  TargetPick away;
  PickTally tally;
  int candidates = 0;
  for (const auto& [id, target] : targets_) {
    if (target->leaving || target->entry.service != query.service) {
      continue;
    }
    const Availability availability = Check(target, query, adapter, now);
    tally.Add(availability, target, now);
    if (availability == Availability::kFull) {
      tally.AddFull(TimeOfRoom(*query.engine, target->forecast,
                               query.call->Tokens(), now));
    }
    if (availability != Availability::kUsable) {
      continue;
    }
    ++candidates;
    TargetPick candidate;
    candidate.outcome = PickOutcome::kChosen;
    candidate.target = target;
    candidate.cost_ms = Cost(*target, query, now);
    TargetPick& best =
        target->entry.failure_domain == failure_domain_ ? home : away;
    if (best.target == nullptr || IsBetter(candidate, best)) {
      best = std::move(candidate);
    }
  }
  if (candidates == 0) {
    return tally.Outcome(!adapter.empty());
  }
  TargetPick pick = ChooseDomain(home, away, query);
  pick.candidates = candidates;
  return pick;
}

}  // namespace jackdaw::serving
