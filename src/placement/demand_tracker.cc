#include "placement/demand_tracker.h"

#include <utility>

namespace jackdaw {

void DemandTracker::OnRequest(std::string_view model, std::int64_t tokens) {
  const std::scoped_lock lock(mutex_);
  const auto found = tokens_.find(model);
  if (found != tokens_.end()) {
    found->second += tokens;
  } else {
    tokens_.emplace(model, tokens);
  }
}

void DemandTracker::OnWaitingChanged(std::string_view model, int change) {
  const std::scoped_lock lock(mutex_);
  const auto found = waiting_.emplace(std::string(model), 0).first;
  found->second += change;
  if (found->second <= 0) {
    waiting_.erase(found);
  }
}

TokensByModel DemandTracker::TakeTokens() {
  const std::scoped_lock lock(mutex_);
  return std::exchange(tokens_, {});
}

std::vector<std::string> DemandTracker::AwaitedModels() const {
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> names;
  names.reserve(waiting_.size());
  for (const auto& [name, count] : waiting_) {
    names.push_back(name);
  }
  return names;
}

void DemandTracker::SetExpectedReady(
    std::map<std::string, Instant, std::less<>> expected) {
  const std::scoped_lock lock(mutex_);
  expected_ = std::move(expected);
}

Instant DemandTracker::ExpectedReadyAt(std::string_view model,
                                       Instant otherwise) const {
  const std::scoped_lock lock(mutex_);
  const auto found = expected_.find(model);
  return found == expected_.end() ? otherwise : found->second;
}

}  // namespace jackdaw
