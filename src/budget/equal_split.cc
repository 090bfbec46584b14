#include "budget/equal_split.h"

namespace jackdaw {

void EqualSplit::OnConfig(Instant now, const FleetConfig& config) {
  for (const auto& workspace : config.workspaces) {
    const std::string scope = "workspace/" + workspace.name;
    const std::int64_t rate =
        SettingFor(config, "rate_tokens_per_s", scope, ToMillis(now)) / parts_;
    const std::int64_t burst =
        SettingFor(config, "burst_tokens", scope, ToMillis(now)) / parts_;
    const auto found = buckets_.find(workspace.name);
    if (found == buckets_.end()) {
      buckets_.emplace(workspace.name, TokenBucket(rate, burst, now));
    } else {
      found->second.Resize(now, rate, burst);
    }
  }
}

SpendResult EqualSplit::Spend(Instant now,
                              std::string_view workspace,
                              std::int64_t tokens) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return {false, Instant::max()};
  }
  if (found->second.TrySpend(now, tokens)) {
    return {true, now};
  }
  return {false, found->second.ReadyAt(now, tokens)};
}

Instant EqualSplit::ReadyAt(Instant now,
                            std::string_view workspace,
                            std::int64_t tokens) {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? Instant::max()
                                 : found->second.ReadyAt(now, tokens);
}

void EqualSplit::Refund(Instant now,
                        std::string_view workspace,
                        std::int64_t tokens) {
  if (const auto found = buckets_.find(workspace); found != buckets_.end()) {
    found->second.Refund(now, tokens);
  }
}

}  // namespace jackdaw
