#include "routing/target_table.h"

#include <algorithm>

namespace jackdaw {
namespace {

// Time for which a target that failed gets no new work.
constexpr Micros kDownTime = 1s;
// Failures after which a target that reports again is taken as restarted.
constexpr int kFailuresOfRestart = 2;
// Time over which a new or recovered target is brought to its full load.
constexpr Micros kWarmTime = 5s;
// Requests that all instances together send to a target that begins to warm
// up, and the time after which one more is allowed.
constexpr std::int64_t kWarmRequests = 4;
constexpr Micros kWarmStep = 100ms;

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
    } else if (!first) {
      state.warming_since = now;
    }
    if (old == nullptr || names_.at(target.name) != index) {
      prefixes_.Forget(index, now);
    }
    state.name = target.name;
    state.address = target.address;
    state.failure_domain = target.failure_domain;
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
  if (restarted || state->failures >= kFailuresOfRestart) {
    state->warming_since = now;
    prefixes_.Forget(names_.find(target)->second, now);
  }
  state->failures = 0;
  state->reported = true;
  state->running = report.running;
  state->waiting = report.waiting;
  state->sent_before = state->sent_now;
  state->sent_now = 0;
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
    state->down_until = now + kDownTime;
    ++state->failures;
  }
}

void TargetTable::OnDispatched(Instant now,
                               std::string_view target,
                               const RouteNeed& need) {
  State* state = FindState(target);
  if (state == nullptr) {
    return;
  }
  ++state->outstanding;
  ++state->sent_now;
  if (need.prefixes != nullptr) {
    prefixes_.OnDispatched(now, names_.find(target)->second, *need.prefixes);
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
                           const RouteNeed& need) const {
  const bool resident = need.model.empty() ||
                        (state.reported && Contains(state.models, need.model));
  return resident && !state.leaving && state.down_until <= now &&
         !Contains(need.excluded, state.name);
}

// The allowance of all instances grows with time; each takes its part, and
// where that is below one request, takes one now and then.
bool TargetTable::MayWarm(Instant now,
                          const State& state,
                          std::uint64_t random) const {
  if (state.warming_since == Instant{} ||
      now >= state.warming_since + kWarmTime) {
    return true;
  }
  const std::int64_t allowed =
      kWarmRequests + (now - state.warming_since) / kWarmStep;
  const std::int64_t whole = allowed / instances_;
  const std::int64_t rest = allowed % instances_;
  const auto chance = static_cast<std::int64_t>(
      (random >> 16) % static_cast<std::uint64_t>(instances_));
  return state.outstanding < whole + (chance < rest ? 1 : 0);
}

Candidate TargetTable::Describe(Instant now,
                                std::uint32_t index,
                                const RouteNeed& need) const {
  const State& state = states_[index];
  Candidate candidate;
  candidate.index = index;
  candidate.outstanding = state.outstanding;
  candidate.running = state.running;
  candidate.waiting = state.waiting;
  candidate.sent_since = state.sent_now + state.sent_before;
  candidate.cached_tokens =
      need.prefixes == nullptr
          ? 0
          : prefixes_.CachedTokens(now, index, *need.prefixes);
  candidate.adapter_resident =
      need.adapter.empty() || Contains(state.adapters, need.adapter);
  candidate.same_domain =
      failure_domain_.empty() || failure_domain_ == state.failure_domain;
  return candidate;
}

std::span<const Candidate> TargetTable::Candidates(Instant now,
                                                   const RouteNeed& need,
                                                   std::uint64_t random) {
  candidates_.clear();
  const Index& index = need.model.empty() ? by_service_ : by_model_;
  const auto found = index.find(need.model.empty() ? need.service : need.model);
  if (found == index.end()) {
    return {};
  }
  std::vector<Candidate> warming;
  for (const std::uint32_t i : found->second) {
    if (CanServe(now, states_[i], need)) {
      auto& into = MayWarm(now, states_[i], random) ? candidates_ : warming;
      into.push_back(Describe(now, i, need));
    }
  }
  if (candidates_.empty()) {
    candidates_ = std::move(warming);
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
