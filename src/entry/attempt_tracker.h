#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/refusal.h"
#include "instance/context.h"

namespace jackdaw {

/// Properties of a request that decide how it is dispatched and retried.
struct AttemptSubject {
  std::string request_id;
  std::string workspace;
  /// Model name; empty for a call of a plain service.
  std::string model;
  std::string service;
  /// Digest of the request's content. Resubmissions have the same digest,
  /// whichever instance or workspace they use.
  std::string digest;
  std::int64_t prompt_tokens = 0;
  std::int64_t charged_tokens = 0;
  PrefixChain prefixes;
  bool idempotent = false;
  Instant deadline{};
  Instant first_byte_deadline{};
};

/// Tracks the attempts of one request at targets: picks the next target,
/// decides whether another attempt is allowed, and builds the refusal for the
/// caller if not. RecordFailure or RecordEnd must be called exactly once for
/// each target that NextTarget returns.
class AttemptTracker {
 public:
  AttemptTracker(InstanceContext& context, AttemptSubject subject);

  /// Picks the target of the next attempt; may wait for a model load, for a
  /// backoff or for the claim of a suspect request.
  /// @returns nothing if the request must be refused with `refusal()`
  boost::asio::awaitable<std::optional<PickedTarget>> NextTarget();

  /// Records that the target failed the attempt, and checks whether it crashed.
  /// @param bytes_sent whether any byte may have reached the target
  boost::asio::awaitable<void> RecordFailure(Error error, bool bytes_sent);

  /// Records that the attempt ended without a failure of the target.
  /// @param whole whether the complete answer was received
  boost::asio::awaitable<void> RecordEnd(bool whole);

  /// Restarts the count of attempts, backoffs and tried targets, because part
  /// of the answer arrived before the attempt failed.
  /// @param deadline time by which the rest of the answer must begin
  void ResetAfterProgress(Instant deadline);

  const Refusal& refusal() const { return refusal_; }
  /// Total time spent waiting for a target.
  Micros wait_time() const { return wait_time_; }

 private:
  boost::asio::awaitable<bool> EnsureQuarantineRead();
  boost::asio::awaitable<bool> BackOff(DispatchDenial denial);
  boost::asio::awaitable<std::optional<PickedTarget>> ClaimRun();
  std::optional<PickedTarget> BeginAttempt(const PickedTarget& target,
                                           bool claimed);
  void SetDispatchRefusal(DispatchDenial denial, Instant until);
  void SetClaimRefusal(ClaimDenial denial, Instant until);
  void SetRefusal(RefusalKind kind, std::string reason, Instant retry_at);
  DispatchRequest CreateDispatchOrder() const;

  InstanceContext& context_;
  AttemptSubject subject_;
  Refusal refusal_;
  std::vector<std::string> tried_targets_;
  PickedTarget current_target_;
  bool current_claimed_ = false;
  bool any_bytes_sent_ = false;
  bool last_bytes_sent_ = false;
  int attempts_ = 0;
  Micros wait_time_{};
  // Expected end of the model's load if it is after the request's deadline.
  Instant load_expected_at_{};
  int backoffs_ = 0;
};

}  // namespace jackdaw
