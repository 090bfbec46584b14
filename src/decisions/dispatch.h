#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "routing/router.h"

namespace jackdaw {

/// An attempt that wants a target.
struct DispatchRequest {
  std::string workspace;
  /// `model` or `model:adapter`, empty for a plain service.
  std::string model;
  std::string service;
  /// Digest of the request, for the quarantine; empty for none.
  std::string digest;
  std::vector<std::string> excluded;
  std::int64_t prompt_tokens = 0;
  /// Tokens that the request was charged.
  std::int64_t charged_tokens = 0;
  PrefixChain prefixes;
  /// 0 for the first attempt.
  int attempt = 0;
  /// Whether a claim lets a suspect run.
  bool claimed = false;
};

/// Why an attempt got no target.
enum class DispatchDenial : std::uint8_t {
  kNone,
  kNoTarget,
  kRetryBudget,
  /// The request may run under a claim only.
  kNeedsClaim,
  kQuarantined,
};

/// A target, or why there is none.
struct DispatchResult {
  DispatchDenial denial = DispatchDenial::kNone;
  PickedTarget target;
  /// For kQuarantined, its end.
  Instant until{};
};

}  // namespace jackdaw
