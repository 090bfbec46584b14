#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "core/duty.h"
#include "platform/client.h"

namespace jackdaw {

/// Outcome of a call, kept for resubmissions with the same key.
struct StoredOutcome {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// What stands in the intent row of a call.
struct IntentState {
  enum class Kind : std::uint8_t {
    /// The row is new and ours: the call may be dispatched once.
    kRun,
    /// The call ran and its outcome is stored.
    kDone,
    /// The call was dispatched and its outcome is not known.
    kPending,
    /// The row belongs to a different request.
    kMismatch,
  };
  Kind kind = Kind::kPending;
  StoredOutcome outcome;
};

/// Rows that make a non-idempotent call run at most once: an intent is stored
/// before the first byte leaves, the outcome after the answer.
class IntentStore {
 public:
  IntentStore(Duty& duty,
              const MonotonicClock& clock,
              const Endpoint& platform);

  /// Claims the right to dispatch. @param key row key of the call
  /// @param fingerprint digest of the request @param request_id its id here
  /// @returns the state, or an error; then nothing may be dispatched
  boost::asio::awaitable<Result<IntentState>> Claim(std::string key,
                                                    std::string fingerprint,
                                                    std::string request_id,
                                                    Instant deadline);

  /// Stores the outcome of a call that was claimed.
  boost::asio::awaitable<Result<void>> Store(std::string key,
                                             std::string fingerprint,
                                             std::string request_id,
                                             StoredOutcome outcome,
                                             Instant deadline);

 private:
  boost::asio::awaitable<Result<IntentState>> ClaimHere(std::string key,
                                                        std::string fingerprint,
                                                        std::string request_id,
                                                        Instant deadline);

  Duty& duty_;
  const MonotonicClock& clock_;
  PlatformClient platform_;
};

}  // namespace jackdaw
