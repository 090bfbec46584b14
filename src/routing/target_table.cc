#include "routing/target_table.h"

#include <algorithm>

namespace jackdaw {
namespace {

// Time for which a target that failed gets no new requests.
constexpr Micros kFailureBackoff = 1s;
// Consecutive failures after which a target that reports again is treated as
// restarted.
constexpr int kRestartFailures = 2;
// Duration of the warm-up, over which a new or recovered target is brought to
// its full load.
constexpr Micros kWarmupTime = 5s;
// Requests that all instances together may have in flight at a target when its
// warm-up starts, and the interval at which one more is allowed.
constexpr std::int64_t kWarmupInitialRequests = 4;
constexpr Micros kWarmupStep = 100ms;

template <typename Range>
bool Contains(const Range& range, std::string_view name) {
  return std::find(range.begin(), range.end(), name) != range.end();
}

}  // namespace

TargetTable::TargetTable(std::string failure_domain, std::size_t prefix_slots)
    : failure_domain_(std::move(failure_domain)), prefixes_(prefix_slots) {}

void TargetTable::OnConfig(Instant now, const FleetConfig& config) {
  const bool first = states_.empty();
  std::vector<State> states;
  std::map<std::string, std::uint32_t, std::less<>> names;
  for (const auto& target : config.targets) {
    const auto index = static_cast<std::uint32_t>(states.size());
    State& state = states.emplace_back();
    const State* old = FindState(target.name);
    if (old != nullptr && old->address == target.address) {
      state = *old;
      // Targets of the first configuration start without a warm-up.
    } else if (!first) {
      state.warmup_started_at = now;
    }
    if (old == nullptr || names_.at(target.name) != index) {
      prefixes_.Forget(index, now);
    }
    state.name = target.name;
    state.address = target.address;
    state.failure_domain = target.failure_domain;
    state.evacuated = config.IsEvacuated(target.failure_domain);
    state.kind = target.kind;
    names[target.name] = index;
  }
  states_ = std::move(states);
  names_ = std::move(names);
  by_model_.clear();
  for (const auto& deployment : config.deployments) {
    for (const auto& model : deployment.models) {
      for (const auto& target : deployment.targets) {
        auto& indices = by_model_[model];
        const std::uint32_t index = names_.at(target);
        if (std::find(indices.begin(), indices.end(), index) == indices.end()) {
          indices.push_back(index);
        }
      }
    }
  }
  by_service_.clear();
  for (const auto& service : config.services) {
    for (const auto& target : service.targets) {
      by_service_[service.name].push_back(names_.at(target));
    }
  }
}

void TargetTable::OnInstances(std::int64_t instances) {
  instances_ = std::max<std::int64_t>(1, instances);
}

void TargetTable::OnReport(Instant now,
                           std::string_view target,
                           const TargetReport& report) {
  State* state = FindState(target);
  if (state == nullptr) {
    return;
  }
  const bool restarted =
      state->incarnation != 0 && report.incarnation != state->incarnation;
  if (restarted || state->failures >= kRestartFailures) {
    state->warmup_started_at = now;
    prefixes_.Forget(names_.find(target)->second, now);
  }
  state->failures = 0;
  state->reported = true;
  state->running = report.running;
  state->waiting = report.waiting;
  state->dispatches_previous_interval = state->dispatches_since_report;
  state->dispatches_since_report = 0;
  state->leaving = report.leaving;
  state->incarnation = report.incarnation;
  if (state->models != report.models) {
    state->models = report.models;
  }
  if (state->adapters != report.adapters) {
    state->adapters = report.adapters;
  }
}

void TargetTable::OnFailure(Instant now, std::string_view target) {
  if (State* state = FindState(target); state != nullptr) {
    state->down_until = now + kFailureBackoff;
    ++state->failures;
  }
}

void TargetTable::OnDispatched(Instant now,
                               std::string_view target,
                               const TargetRequirements& requirements) {
  State* state = FindState(target);
  if (state == nullptr) {
    return;
  }
  ++state->outstanding;
  ++state->dispatches_since_report;
  if (requirements.prefixes != nullptr) {
    prefixes_.OnDispatched(now, names_.find(target)->second,
                           *requirements.prefixes);
  }
}

void TargetTable::OnFinished(std::string_view target) {
  State* state = FindState(target);
  if (state != nullptr && state->outstanding > 0) {
    --state->outstanding;
  }
}

bool TargetTable::CanServe(Instant now,
                           const State& state,
                           const TargetRequirements& requirements) const {
  const bool resident =
      requirements.model.empty() ||
      (state.reported && Contains(state.models, requirements.model));
  return resident && !state.leaving && !state.evacuated &&
         state.down_until <= now &&
         !Contains(requirements.excluded, state.name);
}

// The limit for all instances grows with time, and each may use an equal part.
// The remainder of the division is given out at random: an instance whose part
// is below one request may send one some of the time.
bool TargetTable::IsWithinWarmupLimit(Instant now,
                                      const State& state,
                                      std::uint64_t random) const {
  if (state.warmup_started_at == Instant{} ||
      now >= state.warmup_started_at + kWarmupTime) {
    return true;
  }
  const std::int64_t allowed =
      kWarmupInitialRequests + (now - state.warmup_started_at) / kWarmupStep;
  const std::int64_t whole = allowed / instances_;
  const std::int64_t rest = allowed % instances_;
  const auto chance = static_cast<std::int64_t>(
      (random >> 16) % static_cast<std::uint64_t>(instances_));
  return state.outstanding < whole + (chance < rest ? 1 : 0);
}

Candidate TargetTable::MakeCandidate(
    Instant now,
    std::uint32_t index,
    const TargetRequirements& requirements) const {
  const State& state = states_[index];
  Candidate candidate;
  candidate.index = index;
  candidate.outstanding = state.outstanding;
  candidate.running = state.running;
  candidate.waiting = state.waiting;
  candidate.unreported_dispatches =
      state.dispatches_since_report + state.dispatches_previous_interval;
  candidate.cached_tokens =
      requirements.prefixes == nullptr
          ? 0
          : prefixes_.CachedTokens(now, index, *requirements.prefixes);
  candidate.adapter_resident = requirements.adapter.empty() ||
                               Contains(state.adapters, requirements.adapter);
  candidate.same_domain =
      failure_domain_.empty() || failure_domain_ == state.failure_domain;
  return candidate;
}

std::span<const Candidate> TargetTable::Candidates(
    Instant now,
    const TargetRequirements& requirements,
    std::uint64_t random) {
  candidates_.clear();
  const IndicesByName& index =
      requirements.model.empty() ? by_service_ : by_model_;
  const auto found = index.find(
      requirements.model.empty() ? requirements.service : requirements.model);
  if (found == index.end()) {
    return {};
  }
  std::vector<Candidate> over_limit;
  for (const std::uint32_t i : found->second) {
    if (CanServe(now, states_[i], requirements)) {
      auto& into = IsWithinWarmupLimit(now, states_[i], random) ? candidates_
                                                                : over_limit;
      into.push_back(MakeCandidate(now, i, requirements));
    }
  }
  // Targets beyond their warm-up limit are used if there are no others.
  if (candidates_.empty()) {
    candidates_ = std::move(over_limit);
  }
  return candidates_;
}

PickedTarget TargetTable::At(std::uint32_t index) const {
  const State& state = states_[index];
  return {state.name, state.address, state.incarnation};
}

std::optional<std::uint32_t> TargetTable::Find(std::string_view target) const {
  const auto found = names_.find(target);
  return found == names_.end() ? std::nullopt : std::optional(found->second);
}

TargetTable::State* TargetTable::FindState(std::string_view target) {
  const auto found = names_.find(target);
  return found == names_.end() ? nullptr : &states_[found->second];
}

}  // namespace jackdaw
