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

RetryAllowance& RetryBudget::Of(Allowances& all, std::string_view name) const {
  const auto found = all.find(name);
  return found != all.end()
             ? found->second
             : all.emplace(std::string(name), RetryAllowance(rates_))
                   .first->second;
}

void RetryBudget::OnFirstAttempt(Instant now,
                                 std::string_view workspace,
                                 std::string_view target) {
  Of(workspaces_, workspace).OnFirstAttempt(now);
  Of(targets_, target).OnFirstAttempt(now);
}

bool RetryBudget::TryRetry(Instant now,
                           std::string_view workspace,
                           std::string_view target) {
  RetryAllowance& from_workspace = Of(workspaces_, workspace);
  RetryAllowance& from_target = Of(targets_, target);
  if (!from_workspace.Has(now) || !from_target.Has(now)) {
    return false;
  }
  from_workspace.Take();
  from_target.Take();
  return true;
}

}  // namespace jackdaw
