#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"

namespace jackdaw {

/// Largest answer body kept for resubmissions, in bytes.
inline constexpr std::size_t kMaxStoredBody = 64UL * 1024;

/// Outcome of a call, kept for resubmissions with the same key.
struct StoredOutcome {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body was larger than kMaxStoredBody and is not kept.
  bool body_left_out = false;
};

/// What a call's row says of it.
enum class IntentPhase : std::uint8_t {
  /// Claimed by the submission `request_id`, which may have dispatched it.
  kPending,
  /// The submission `request_id` gave the claim up before any byte left.
  kNotRun,
  /// Dispatched; whether it ran will never be known here.
  kUnknown,
  /// It ran, with the stored outcome.
  kDone,
};

/// One row of the table that makes a call run at most once.
struct IntentRow {
  IntentPhase phase = IntentPhase::kPending;
  /// Digest of the request, to tell another request with the same key.
  std::string fingerprint;
  /// Submission that wrote the row; unique over all instances.
  std::string request_id;
  Instant written{};
  StoredOutcome outcome;
};

/// Text form of a row; bodies are Base64, since they may be binary.
std::string EncodeIntentRow(const IntentRow& row);

/// Inverse of EncodeIntentRow. @returns kMalformed or kInvalidSetting for
/// text that is no such row
Result<IntentRow> DecodeIntentRow(std::string_view value);

/// Leaves out a body that is too large to keep.
StoredOutcome LimitOutcomeSize(StoredOutcome outcome);

}  // namespace jackdaw
