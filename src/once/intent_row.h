#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"

namespace jackdaw {

/// Maximum size of a response body kept for resubmissions, in bytes.
inline constexpr std::size_t kMaxStoredBody = 64UL * 1024;

/// Outcome of a call, returned to resubmissions with the same key.
struct StoredOutcome {
  int status = 0;
  std::string content_type;
  std::string body;
  /// Whether the body was dropped because it exceeded kMaxStoredBody.
  bool body_left_out = false;
};

/// State of a call as stored in its row.
enum class IntentPhase : std::uint8_t {
  /// Claimed by the submission `request_id`, which may have dispatched it.
  kPending,
  /// The submission `request_id` released the claim, or its claim timed out,
  /// before any byte of the call was sent.
  kNotRun,
  /// The call was dispatched; whether it ran cannot be determined.
  kUnknown,
  /// The call ran, with the stored outcome.
  kDone,
};

/// Row of the intent table, which ensures that a call runs at most once.
struct IntentRow {
  IntentPhase phase = IntentPhase::kPending;
  /// Digest of the request; detects a different request with the same key.
  std::string fingerprint;
  /// Submission that wrote the row; unique across all instances.
  std::string request_id;
  Instant written{};
  StoredOutcome outcome;
};

/// Returns a row as JSON text. Content types and bodies are encoded as Base64,
/// since they may be binary.
std::string EncodeIntentRow(const IntentRow& row);

/// Parses the text produced by EncodeIntentRow.
/// @returns kMalformed or kInvalidSetting if the text is not a valid row
Result<IntentRow> DecodeIntentRow(std::string_view value);

/// Removes a body larger than kMaxStoredBody and sets `body_left_out`.
StoredOutcome LimitOutcomeSize(StoredOutcome outcome);

}  // namespace jackdaw
