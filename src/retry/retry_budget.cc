#include "retry/retry_budget.h"

#include <set>

namespace jackdaw {

void RetryBudget::OnConfig(const FleetConfig& config) {
  std::set<std::string_view> workspaces{""};
  for (const auto& workspace : config.workspaces) {
    workspaces.insert(workspace.name);
  }
  std::set<std::string_view> targets;
  for (const auto& target : config.targets) {
    targets.insert(target.name);
  }
  std::erase_if(workspaces_, [&](const auto& entry) {
    return !workspaces.contains(entry.first);
  });
  std::erase_if(targets_, [&](const auto& entry) {
    return !targets.contains(entry.first);
  });
}

RetryBucket& RetryBudget::BucketFor(Buckets& buckets,
                                    std::string_view name) const {
  const auto found = buckets.find(name);
  return found != buckets.end()
             ? found->second
             : buckets.emplace(std::string(name), RetryBucket(rates_))
                   .first->second;
}

void RetryBudget::OnFirstAttempt(Instant now,
                                 std::string_view workspace,
                                 std::string_view target) {
  BucketFor(workspaces_, workspace).OnFirstAttempt(now);
  BucketFor(targets_, target).OnFirstAttempt(now);
}

bool RetryBudget::TryRetry(Instant now,
                           std::string_view workspace,
                           std::string_view target) {
  RetryBucket& from_workspace = BucketFor(workspaces_, workspace);
  RetryBucket& from_target = BucketFor(targets_, target);
  if (!from_workspace.CanRetry(now) || !from_target.CanRetry(now)) {
    return false;
  }
  from_workspace.Spend();
  from_target.Spend();
  return true;
}

}  // namespace jackdaw
