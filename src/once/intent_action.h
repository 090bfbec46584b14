#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "once/intent_row.h"
#include "store/table.h"

namespace jackdaw {

/// Identifies a call within one IntentTracker.
using CallId = std::uint64_t;

/// Result of a claim.
struct ClaimResult {
  enum class Kind : std::uint8_t {
    /// This submission holds the row: the call may be dispatched once, now.
    kClaimed,
    /// The call ran and its outcome is stored.
    kDone,
    /// Another submission holds the row and may be running the call.
    kPending,
    /// The call may have run and its outcome is not known, or the stored row
    /// cannot be decoded.
    kUnknown,
    /// The row belongs to a different request.
    kMismatch,
    /// The claim was not confirmed by its deadline, although its row may have
    /// been stored: the call is not dispatched.
    kTimedOut,
  };
  CallId call = 0;
  Kind kind = Kind::kTimedOut;
  StoredOutcome outcome;
  /// Time at which another submission wrote the row.
  Instant written{};
};

/// Requests that a transaction be sent to the table service.
struct SendTransaction {
  std::uint64_t batch = 0;
  Transaction transaction;
};

/// Requests that rows be read from the table service.
struct SendRead {
  std::uint64_t batch = 0;
  std::vector<std::string> keys;
};

/// Reports that a call is closed: its last write is durable, obsolete, or was
/// dropped after IntentLimits::write_timeout.
struct CallSettled {
  CallId call = 0;
};

using IntentAction =
    std::variant<SendTransaction, SendRead, ClaimResult, CallSettled>;

}  // namespace jackdaw
