#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "once/intent_row.h"
#include "store/table.h"

namespace jackdaw {

/// Number of a call within one IntentTracker.
using CallId = std::uint64_t;

/// What a claim came to.
struct ClaimResult {
  enum class Kind : std::uint8_t {
    /// The row is ours: the call may be dispatched once, now.
    kClaimed,
    /// The call ran and its outcome is stored.
    kDone,
    /// Another submission holds the row and may be running the call.
    kPending,
    /// The call was dispatched and its outcome will not be known.
    kUnknown,
    /// The row belongs to a different request.
    kMismatch,
    /// The row could not be stored in time: the call is not dispatched.
    kTimedOut,
  };
  CallId call = 0;
  Kind kind = Kind::kTimedOut;
  StoredOutcome outcome;
  /// When the row of another submission was written.
  Instant written{};
};

/// Ask the table service to apply a transaction.
struct SendTransaction {
  std::uint64_t batch = 0;
  Transaction transaction;
};

/// Ask the table service for rows.
struct SendRead {
  std::uint64_t batch = 0;
  std::vector<std::string> keys;
};

/// The last write of a call is durable, or not needed any more.
struct CallSettled {
  CallId call = 0;
};

using IntentAction =
    std::variant<SendTransaction, SendRead, ClaimResult, CallSettled>;

}  // namespace jackdaw
