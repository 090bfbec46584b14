#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "routing/router.h"

namespace jackdaw {

/// Request for a target for one attempt.
struct DispatchRequest {
  std::string workspace;
  /// `model` or `model:adapter`, empty for a plain service.
  std::string model;
  std::string service;
  /// Digest of the request, for the quarantine; empty for none.
  std::string digest;
  /// Targets already tried for this request.
  std::vector<std::string> excluded;
  std::int64_t prompt_tokens = 0;
  /// Tokens that the request was charged.
  std::int64_t charged_tokens = 0;
  PrefixChain prefixes;
  /// Number of the attempt; 0 for the first.
  int attempt = 0;
  /// Whether the attempt holds a claim: the permission, one per target, to run
  /// a request that is suspected of crashing targets.
  bool claimed = false;
};

/// Reason why an attempt got no target.
enum class DispatchDenial : std::uint8_t {
  kNone,
  kNoTarget,
  kRetryBudget,
  /// The request may have crashed a target and may run under a claim only.
  kNeedsClaim,
  kQuarantined,
};

/// The target of an attempt, or the reason why there is none.
struct DispatchResult {
  DispatchDenial denial = DispatchDenial::kNone;
  PickedTarget target;
  /// End of the quarantine, for kQuarantined.
  Instant until{};
};

}  // namespace jackdaw
