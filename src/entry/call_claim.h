#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "entry/caller_request.h"
#include "entry/refusal_sender.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// The claim of one call that must run at most once. A claim that is granted
/// and then neither released nor finished leaves the outcome unknown.
class CallClaim {
 public:
  CallClaim(InstanceContext& context, RefusalSender& refusal_sender)
      : context_(context), refusal_sender_(refusal_sender) {}
  ~CallClaim();
  CallClaim(const CallClaim&) = delete;
  CallClaim& operator=(const CallClaim&) = delete;

  /// Claims the call named by the caller's Idempotency-Key.
  /// @param deadline moment after which the call is not dispatched
  /// @param service name of the plain service
  /// @returns whether to dispatch; otherwise the request has been answered
  boost::asio::awaitable<bool> Claim(HttpExchange& exchange,
                                     const CallerRequest& request,
                                     std::string_view service,
                                     Instant deadline);

  /// No byte of the call left.
  boost::asio::awaitable<void> Release();
  /// The call ran with this answer.
  boost::asio::awaitable<void> Finish(const HttpResponse& answer);

 private:
  boost::asio::awaitable<void> RespondWithoutDispatch(
      HttpExchange& exchange,
      const CallerRequest& request,
      ClaimAnswer claim);

  InstanceContext& context_;
  RefusalSender& refusal_sender_;
  std::optional<CallId> granted_;
};

}  // namespace jackdaw
