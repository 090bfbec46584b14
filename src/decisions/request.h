#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/refusal.h"
#include "core/time.h"

namespace jackdaw {

/// Data of a caller's request that admission needs.
struct RequestInfo {
  std::string request_id;
  /// Digest of the key, empty where none was sent.
  std::string key_digest;
  /// Time until which this instance's view of the keys may be used.
  Instant keys_valid_until = Instant::max();
  /// Model, empty for a plain service.
  std::string model;
  std::string service;
  std::string method;
  /// Path below the service, with its leading slash.
  std::string path;
  /// Prompt tokens, estimated from the body.
  std::int64_t prompt_tokens = 0;
  /// Maximum number of tokens to generate; 0 for the configured default.
  std::int64_t max_output_tokens = 0;
};

/// A request that may run, with its charge and its time limits.
struct Admitted {
  std::string workspace;
  bool idempotent = true;
  std::int64_t charged_tokens = 0;
  Instant deadline{};
  Instant first_byte_deadline{};
  /// Longest pause between two bytes of the answer.
  Micros between_bytes{};
};

/// A refusal and the workspace that it concerns, empty where unknown.
struct Refused {
  Refusal refusal;
  std::string workspace;
};

using AdmitResult = std::variant<Admitted, Refused>;

}  // namespace jackdaw
