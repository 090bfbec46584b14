#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/refusal.h"
#include "instance/context.h"

namespace jackdaw {

/// The request whose attempts are made.
struct AttemptSubject {
  std::string request_id;
  std::string workspace;
  /// Model, empty for a plain service.
  std::string model;
  std::string service;
  /// Digest of the request, the same wherever it is sent again.
  std::string digest;
  std::int64_t prompt_tokens = 0;
  std::int64_t charged_tokens = 0;
  PrefixChain prefixes;
  bool idempotent = false;
  Instant deadline{};
  Instant first_byte_deadline{};
};

/// The attempts of one request at targets: which target comes next, whether
/// another attempt is allowed, and what the caller is told when none is. For
/// each target that Next gives, Failed or Ended is called once.
class Attempts {
 public:
  Attempts(InstanceContext& context, AttemptSubject subject);

  /// Picks the target of the next attempt. @returns nothing where the request
  /// has to be refused; `refusal` then says why
  boost::asio::awaitable<std::optional<PickedTarget>> Next();

  /// The attempt failed. @param bytes_sent whether any byte may have reached
  /// the target
  boost::asio::awaitable<void> Failed(Error error, bool bytes_sent);

  /// The attempt ended without a failure of the target. @param whole whether
  /// the whole answer came
  boost::asio::awaitable<void> Ended(bool whole);

  /// Part of the answer came before the attempt failed: attempts and targets
  /// tried count anew. @param deadline moment by which the rest must begin
  void Progressed(Instant deadline);

  const Refusal& refusal() const { return refusal_; }
  /// Time spent waiting for a target.
  Micros waited() const { return waited_; }

 private:
  boost::asio::awaitable<bool> Ready();
  boost::asio::awaitable<bool> Rest(DispatchDenial denial);
  boost::asio::awaitable<std::optional<PickedTarget>> ClaimRun();
  std::optional<PickedTarget> Begin(const PickedTarget& target, bool claimed);
  void Deny(DispatchDenial denial, Instant until);
  void DenyClaim(RunClaimDenial denial, Instant until);
  void Refuse(RefusalKind kind, std::string reason, Instant retry_at);
  DispatchRequest Order() const;

  InstanceContext& context_;
  AttemptSubject subject_;
  Refusal refusal_;
  std::vector<std::string> tried_;
  PickedTarget current_;
  bool claimed_ = false;
  bool any_sent_ = false;
  bool last_sent_ = false;
  int attempts_ = 0;
  Micros waited_{};
  // When a model without a copy is expected, if that is too late.
  Instant load_expected_at_{};
  int rests_ = 0;
};

}  // namespace jackdaw
