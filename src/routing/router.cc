#include "routing/router.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Time for which a target that failed gets no new work.
constexpr Micros kDownTime = 1s;

template <typename Range>
bool Contains(const Range& range, std::string_view name) {
  return std::find(range.begin(), range.end(), name) != range.end();
}

}  // namespace

void Router::OnConfig(const FleetConfig& config) {
  std::map<std::string, State, std::less<>> targets;
  for (const auto& target : config.targets) {
    const auto old = targets_.find(target.name);
    State& state = targets[target.name];
    if (old != targets_.end() && old->second.address == target.address) {
      state = std::move(old->second);
    }
    state.address = target.address;
    state.kind = target.kind;
  }
  targets_ = std::move(targets);
  by_model_.clear();
  for (const auto& deployment : config.deployments) {
    for (const auto& model : deployment.models) {
      auto& names = by_model_[model];
      names.insert(names.end(), deployment.targets.begin(),
                   deployment.targets.end());
    }
  }
  by_service_.clear();
  for (const auto& service : config.services) {
    by_service_[service.name] = service.targets;
  }
}

void Router::OnReport(Instant /*now*/,
                      std::string_view target,
                      const TargetReport& report) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  State& state = found->second;
  state.reported = true;
  state.reported_work = report.running + report.waiting;
  state.leaving = report.leaving;
  state.incarnation = report.incarnation;
  state.models = report.models;
}

void Router::OnFailure(Instant now, std::string_view target) {
  if (const auto found = targets_.find(target); found != targets_.end()) {
    found->second.down_until = now + kDownTime;
  }
}

std::optional<PickedTarget> Router::Pick(Instant now,
                                         const RouteNeed& need) const {
  const auto& index = need.model.empty() ? by_service_ : by_model_;
  const auto names = index.find(need.model.empty() ? need.service : need.model);
  if (names == index.end()) {
    return std::nullopt;
  }
  std::optional<PickedTarget> best;
  std::int64_t best_work = 0;
  for (const auto& name : names->second) {
    const auto found = targets_.find(name);
    if (found == targets_.end() || Contains(need.excluded, name)) {
      continue;
    }
    const State& state = found->second;
    const bool resident =
        need.model.empty() ||
        (state.reported && Contains(state.models, need.model));
    if (!resident || state.leaving || state.down_until > now) {
      continue;
    }
    const std::int64_t work = std::max(state.outstanding, state.reported_work);
    if (name == need.preferred) {
      return PickedTarget{name, state.address, state.incarnation};
    }
    if (!best || work < best_work) {
      best = PickedTarget{name, state.address, state.incarnation};
      best_work = work;
    }
  }
  return best;
}

void Router::OnDispatched(std::string_view target) {
  if (const auto found = targets_.find(target); found != targets_.end()) {
    ++found->second.outstanding;
  }
}

void Router::OnFinished(std::string_view target) {
  const auto found = targets_.find(target);
  if (found != targets_.end() && found->second.outstanding > 0) {
    --found->second.outstanding;
  }
}

std::vector<PickedTarget> Router::Targets() const {
  std::vector<PickedTarget> all;
  for (const auto& [name, state] : targets_) {
    all.push_back({name, state.address, state.incarnation});
  }
  return all;
}

}  // namespace jackdaw
