#include "entry/call_claim.h"

#include "core/digest.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Maximum time to try to store a claim.
constexpr Micros kClaimTimeout = 2s;
// Maximum time that the answer of a call is delayed to write the call's row.
constexpr Micros kStoreTimeout = 500ms;
// Age at which a pending row is treated as left behind: its holder is no longer
// expected to complete it.
constexpr Micros kPendingClaimTimeout = 60s;

ClaimRequest ClaimOrderFor(const HttpRequest& from,
                           const CallerRequest& request,
                           std::string_view service,
                           Instant deadline) {
  ClaimRequest order;
  const std::string identity = request.workspace + "\n" + std::string(service) +
                               "\n" +
                               std::string(from.Header("Idempotency-Key"));
  order.key = std::string(kIntentPrefix) + Sha256Hex(identity);
  order.fingerprint =
      Sha256Hex(from.method + "\n" + from.target + "\n" + from.body);
  order.request_id = request.id;
  order.deadline = deadline;
  return order;
}

Refusal StoreUnavailable(std::string reason, Instant now) {
  return {RefusalKind::kStoreUnavailable, Ran::kNo, std::move(reason),
          now + 2s};
}

// Refusal of a submission whose claim was not granted.
Refusal RefusalFor(const ClaimResult& claim, Instant now) {
  using Kind = ClaimResult::Kind;
  if (claim.kind == Kind::kTimedOut) {
    return StoreUnavailable("the intent could not be stored in time", now);
  }
  if (claim.kind == Kind::kMismatch) {
    return {RefusalKind::kIdempotencyConflict, Ran::kNo,
            "the Idempotency-Key was used for a different request", Instant{}};
  }
  if (claim.kind == Kind::kPending &&
      now < claim.written + kPendingClaimTimeout) {
    return {RefusalKind::kOutcomeUnknown, Ran::kUnknown,
            "an earlier submission is under way", now + 1s};
  }
  if (claim.kind == Kind::kDone) {
    return {RefusalKind::kOutcomeUnknown, Ran::kUnknown,
            "the call ran with status " + std::to_string(claim.outcome.status) +
                "; its answer was too large to keep",
            Instant{}};
  }
  return {RefusalKind::kOutcomeUnknown, Ran::kUnknown,
          "an earlier submission was dispatched, its outcome is not known",
          Instant{}};
}

}  // namespace

CallClaim::~CallClaim() {
  if (granted_) {
    context_.intents.Abandon(*granted_);
  }
}

asio::awaitable<bool> CallClaim::Claim(HttpExchange& exchange,
                                       const CallerRequest& request,
                                       std::string_view service,
                                       Instant deadline) {
  const Instant until =
      std::min(deadline, context_.clock.Now() + kClaimTimeout);
  ClaimRequest order =
      ClaimOrderFor(exchange.request(), request, service, until);
  Result<ClaimResult> claim = co_await context_.intents.Claim(std::move(order));
  if (!claim) {
    Refusal refusal =
        StoreUnavailable(claim.error().Line(), context_.clock.Now());
    co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
    co_return false;
  }
  if (claim.value().kind == ClaimResult::Kind::kClaimed) {
    granted_ = claim.value().call;
    context_.events.Add(EventKind::kIntentStored, request.id, request.workspace,
                        {}, std::string(service));
    co_return true;
  }
  ClaimResult answer = std::move(claim.value());
  co_await RespondWithoutDispatch(exchange, request, std::move(answer));
  co_return false;
}

asio::awaitable<void> CallClaim::RespondWithoutDispatch(
    HttpExchange& exchange,
    const CallerRequest& request,
    ClaimResult claim) {
  if (claim.kind == ClaimResult::Kind::kDone && !claim.outcome.body_left_out) {
    HttpResponse response{claim.outcome.status, {}, claim.outcome.body};
    response.headers.push_back({"Content-Type", claim.outcome.content_type});
    response.headers.push_back({"X-Request-Id", request.id});
    response.headers.push_back({"Idempotency-Replayed", "true"});
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  Refusal refusal = RefusalFor(claim, context_.clock.Now());
  co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
}

asio::awaitable<void> CallClaim::Release() {
  if (granted_) {
    const CallId call = *granted_;
    granted_.reset();
    co_await context_.intents.Release(call,
                                      context_.clock.Now() + kStoreTimeout);
  }
}

asio::awaitable<void> CallClaim::Finish(const HttpResponse& answer) {
  if (granted_) {
    const CallId call = *granted_;
    granted_.reset();
    StoredOutcome outcome;
    outcome.status = answer.status;
    outcome.content_type =
        std::string(FindHeader(answer.headers, "Content-Type"));
    outcome.body = answer.body;
    co_await context_.intents.Finish(call, std::move(outcome),
                                     context_.clock.Now() + kStoreTimeout);
  }
}

}  // namespace jackdaw
