#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "budget/spend_result.h"
#include "budget/token_bucket.h"
#include "config/fleet_config.h"
#include "core/time.h"

namespace jackdaw {

/// Budget scheme that gives each instance the same fixed part of each
/// workspace's rate and burst. It sends no messages, and the part that an
/// instance does not use is lost. Used only to compare other schemes with it.
class EqualSplit {
 public:
  /// @param parts number of parts; at least the maximum number of instances
  /// that run at the same time, as they would exceed the budget together
  /// otherwise
  explicit EqualSplit(std::int64_t parts) : parts_(parts) {}

  /// Applies the rates and bursts of a configuration.
  void OnConfig(Instant now, const FleetConfig& config);
  /// Does nothing: the parts do not follow demand.
  void RecordDemand(Instant /*now*/,
                    std::string_view /*workspace*/,
                    std::int64_t /*tokens*/) {}
  SpendResult Spend(Instant now,
                    std::string_view workspace,
                    std::int64_t tokens);
  /// Does nothing: peers cannot grant tokens in this scheme.
  void RequestTokens(Instant /*now*/,
                     std::string_view /*workspace*/,
                     std::int64_t /*total*/,
                     std::int64_t /*first*/) {}
  Instant ReadyAt(Instant now, std::string_view workspace, std::int64_t tokens);
  void Refund(Instant now, std::string_view workspace, std::int64_t tokens);

 private:
  std::int64_t parts_;
  std::map<std::string, TokenBucket, std::less<>> buckets_;
};

/// Interface of a budget scheme for Admission and WaitQueue.
template <typename T>
concept BudgetScheme = requires(T scheme,
                                Instant now,
                                const FleetConfig& config,
                                std::string_view workspace,
                                std::int64_t tokens) {
  scheme.OnConfig(now, config);
  { scheme.Spend(now, workspace, tokens) } -> std::same_as<SpendResult>;
  { scheme.ReadyAt(now, workspace, tokens) } -> std::same_as<Instant>;
  scheme.RecordDemand(now, workspace, tokens);
  scheme.RequestTokens(now, workspace, tokens, tokens);
  scheme.Refund(now, workspace, tokens);
};

static_assert(BudgetScheme<EqualSplit>);

}  // namespace jackdaw
