#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "entry/caller_request.h"
#include "entry/refusal_sender.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// The claim of one call that must run at most once. If a granted claim is
/// destroyed before Release or Finish, the outcome of the call is unknown.
class CallClaim {
 public:
  CallClaim(InstanceContext& context, RefusalSender& refusal_sender)
      : context_(context), refusal_sender_(refusal_sender) {}
  ~CallClaim();
  CallClaim(const CallClaim&) = delete;
  CallClaim& operator=(const CallClaim&) = delete;

  /// Claims the call identified by the caller's Idempotency-Key.
  /// @param service name of the plain service
  /// @param deadline time after which the call is not dispatched
  /// @returns true if the call may be dispatched; if false, the caller has been
  /// sent the stored answer or a refusal
  boost::asio::awaitable<bool> Claim(HttpExchange& exchange,
                                     const CallerRequest& request,
                                     std::string_view service,
                                     Instant deadline);

  /// Releases the claim, since no byte of the call was sent.
  boost::asio::awaitable<void> Release();
  /// Stores the answer of the call, for later submissions with the same key.
  boost::asio::awaitable<void> Finish(const HttpResponse& answer);

 private:
  boost::asio::awaitable<void> RespondWithoutDispatch(
      HttpExchange& exchange,
      const CallerRequest& request,
      ClaimResult claim);

  InstanceContext& context_;
  RefusalSender& refusal_sender_;
  std::optional<CallId> granted_;
};

}  // namespace jackdaw
