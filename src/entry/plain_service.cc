#include "entry/plain_service.h"

#include <boost/asio/this_coro.hpp>
#include <variant>

#include "core/digest.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kCallPath = "/call/";
// Time for the outcome of a call to be stored.
constexpr Micros kStoreTime = 5s;

HttpRequest ForTarget(const HttpRequest& from,
                      const CallerRequest& request,
                      std::string_view path) {
  HttpRequest to;
  to.method = from.method;
  to.target = std::string(path);
  const std::size_t query = from.target.find('?');
  if (query != std::string::npos) {
    to.target += from.target.substr(query);
  }
  if (const auto type = from.Header("Content-Type"); !type.empty()) {
    to.headers.push_back({"Content-Type", std::string(type)});
  }
  to.headers.push_back({"X-Request-Id", request.id});
  to.headers.push_back({"X-Workspace", request.workspace});
  to.body = from.body;
  return to;
}

HttpResponse ForCaller(const HttpResponse& from, std::string_view request_id) {
  HttpResponse to{from.status, {}, from.body};
  to.headers.push_back(
      {"Content-Type", std::string(FindHeader(from.headers, "Content-Type"))});
  to.headers.push_back({"X-Request-Id", std::string(request_id)});
  return to;
}

Refusal StoreDown(const Error& error, Instant now) {
  return {RefusalKind::kStoreUnavailable, Ran::kNo,
          "the intent could not be stored: " + error.Line(), now + 2s};
}

}  // namespace

// What the attempts of a call are made for. The digest leaves out who asks, so
// that a crashing call is known whoever sends it.
AttemptSubject PlainService::SubjectOf(const HttpRequest& from,
                                       const CallerRequest& request,
                                       const Call& call) {
  AttemptSubject subject;
  subject.request_id = request.id;
  subject.workspace = request.workspace;
  subject.service = call.service;
  subject.digest =
      Sha256Hex(from.method + "\n" + from.target + "\n" + from.body);
  subject.idempotent = call.admitted.idempotent;
  subject.deadline = call.admitted.deadline;
  subject.first_byte_deadline = call.admitted.first_byte_deadline;
  return subject;
}

asio::awaitable<void> PlainService::Serve(HttpExchange& exchange,
                                          CallerRequest request) {
  const HttpRequest& from = exchange.request();
  const std::string_view rest = from.Path().substr(kCallPath.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  Call call;
  call.service = std::string(rest.substr(0, slash));
  call.path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
  RequestInfo info;
  info.request_id = request.id;
  info.key_digest = request.key_digest;
  info.service = call.service;
  info.method = from.method;
  info.path = call.path;
  Result<AdmitResult> decided = co_await context_.decisions.Admit(info);
  if (!decided) {
    Refusal refusal{RefusalKind::kOverloaded, Ran::kNo, decided.error().Line(),
                    context_.clock.Now() + 1s};
    co_await refuser_.Refuse(exchange, request, std::move(refusal));
    co_return;
  }
  if (const auto* refused = std::get_if<Refused>(&decided.value())) {
    request.workspace = refused->workspace;
    co_await refuser_.Refuse(exchange, request, refused->refusal);
    co_return;
  }
  call.admitted = std::get<Admitted>(decided.value());
  request.workspace = call.admitted.workspace;
  context_.metrics.CountRequest(request.workspace);
  context_.events.Add(EventKind::kRequestAdmitted, request.id,
                      request.workspace, {}, call.service + call.path);
  co_await Run(exchange, request, std::move(call));
}

asio::awaitable<void> PlainService::Run(HttpExchange& exchange,
                                        const CallerRequest& request,
                                        Call call) {
  const HttpRequest& from = exchange.request();
  if (!call.admitted.idempotent) {
    const auto given = from.Header("Idempotency-Key");
    const std::string identity =
        given.empty() ? "request:" + request.id : "key:" + std::string(given);
    call.intent_key = "once/" + Sha256Hex(request.workspace + "\n" +
                                          call.service + "\n" + identity);
    call.fingerprint =
        Sha256Hex(from.method + "\n" + from.target + "\n" + from.body);
    const bool claimed = co_await Claim(exchange, request, call);
    if (!claimed) {
      co_return;
    }
  }
  co_await Dispatch(exchange, request, call);
}

// Stores the intent. @returns true when this request may be dispatched;
// otherwise it has been answered
asio::awaitable<bool> PlainService::Claim(HttpExchange& exchange,
                                          const CallerRequest& request,
                                          const Call& call) {
  Result<IntentState> state = co_await context_.intents.Claim(
      call.intent_key, call.fingerprint, request.id, call.admitted.deadline);
  if (!state) {
    context_.decisions.Refund(request.workspace, call.admitted.charged_tokens);
    Refusal refusal = StoreDown(state.error(), context_.clock.Now());
    co_await refuser_.Refuse(exchange, request, std::move(refusal));
    co_return false;
  }
  switch (state.value().kind) {
    case IntentState::Kind::kRun:
      context_.events.Add(EventKind::kIntentStored, request.id,
                          request.workspace, {}, call.service + call.path);
      co_return true;
    case IntentState::Kind::kDone: {
      const StoredOutcome& outcome = state.value().outcome;
      HttpResponse response{outcome.status, {}, outcome.body};
      response.headers.push_back({"Content-Type", outcome.content_type});
      response.headers.push_back({"Idempotency-Replayed", "true"});
      co_await exchange.Respond(std::move(response));
      co_return false;
    }
    case IntentState::Kind::kMismatch: {
      Refusal refusal{RefusalKind::kIdempotencyConflict, Ran::kNo,
                      "the Idempotency-Key was used for a different request",
                      Instant{}};
      co_await refuser_.Refuse(exchange, request, std::move(refusal));
      co_return false;
    }
    case IntentState::Kind::kPending:
      break;
  }
  Refusal refusal{RefusalKind::kOutcomeUnknown, Ran::kUnknown,
                  "an earlier submission was dispatched, its outcome is not "
                  "known",
                  Instant{}};
  co_await refuser_.Refuse(exchange, request, std::move(refusal));
  co_return false;
}

asio::awaitable<void> PlainService::Dispatch(HttpExchange& exchange,
                                             const CallerRequest& request,
                                             const Call& call) {
  Attempts attempts(context_, SubjectOf(exchange.request(), request, call));
  for (;;) {
    const std::optional<PickedTarget> target = co_await attempts.Next();
    if (!target) {
      break;
    }
    bool bytes_sent = false;
    Result<HttpResponse> answer =
        co_await Send(exchange.request(), request, call, *target, bytes_sent);
    if (!answer) {
      co_await attempts.Failed(answer.error(), bytes_sent);
      continue;
    }
    context_.decisions.Finish(target->name, false);
    if (!call.admitted.idempotent) {
      StoredOutcome outcome;
      outcome.status = answer.value().status;
      outcome.content_type =
          std::string(FindHeader(answer.value().headers, "Content-Type"));
      outcome.body = answer.value().body;
      static_cast<void>(co_await context_.intents.Store(
          call.intent_key, call.fingerprint, request.id, std::move(outcome),
          context_.clock.Now() + kStoreTime));
    }
    HttpResponse response = ForCaller(answer.value(), request.id);
    co_await exchange.Respond(std::move(response));
    co_await attempts.Ended(true);
    context_.events.Add(EventKind::kRequestFinished, request.id,
                        request.workspace, target->name, "whole");
    co_return;
  }
  if (attempts.refusal().ran == Ran::kNo) {
    context_.decisions.Refund(request.workspace, call.admitted.charged_tokens);
  }
  co_await refuser_.Refuse(exchange, request, attempts.refusal());
}

// Sends the call to one target and reads the whole answer.
asio::awaitable<Result<HttpResponse>> PlainService::Send(
    const HttpRequest& from,
    const CallerRequest& request,
    const Call& call,
    const PickedTarget& target,
    bool& bytes_sent) {
  const auto endpoint = ParseEndpoint(target.address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  RelayOrder order;
  order.endpoint = endpoint.value();
  order.request = ForTarget(from, request, call.path);
  order.first_byte_deadline =
      std::min(call.admitted.deadline, call.admitted.first_byte_deadline);
  order.between_bytes = call.admitted.between_bytes;
  order.choice = call.admitted.idempotent ? ConnectionChoice::kKeptOrFresh
                                          : ConnectionChoice::kFresh;
  const auto executor = co_await asio::this_coro::executor;
  auto pipe = context_.relay.Start(std::move(order), executor);
  if (!pipe) {
    co_return pipe.error();
  }
  HttpResponse answer;
  for (;;) {
    std::optional<RelayItem> item = co_await pipe.value()->Pop(
        std::chrono::steady_clock::time_point::max());
    switch (item->kind) {
      case RelayItem::Kind::kHead:
        answer = std::move(item->head);
        break;
      case RelayItem::Kind::kChunk:
        answer.body += item->bytes;
        break;
      case RelayItem::Kind::kFailure:
        bytes_sent = item->bytes_sent;
        co_return item->error;
      case RelayItem::Kind::kEnd:
        co_return answer;
    }
  }
}

}  // namespace jackdaw
