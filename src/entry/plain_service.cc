#include "entry/plain_service.h"

#include <boost/asio/this_coro.hpp>

#include "core/digest.h"
#include "entry/admit.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kCallPath = "/call/";

HttpRequest CreateTargetRequest(const HttpRequest& from,
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

HttpResponse CreateCallerResponse(const HttpResponse& from,
                                  std::string_view request_id) {
  HttpResponse to{from.status, {}, from.body};
  to.headers.push_back(
      {"Content-Type", std::string(FindHeader(from.headers, "Content-Type"))});
  to.headers.push_back({"X-Request-Id", std::string(request_id)});
  return to;
}

}  // namespace

// Describes a call to the attempt tracker. The digest excludes the key and the
// workspace, so that a call that crashes targets is recognized whichever caller
// sends it.
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
  info.service = call.service;
  info.method = from.method;
  info.path = call.path;
  std::optional<Admitted> admitted =
      co_await AdmitRequest(context_, refusal_sender_, exchange, request,
                            std::move(info), call.service + call.path);
  if (!admitted) {
    co_return;
  }
  call.admitted = *admitted;
  call.first_byte = call.admitted.first_byte_deadline - context_.clock.Now();
  co_await ClaimAndDispatch(exchange, request, std::move(call));
}

// A call that is not idempotent is claimed first if the caller gave it an
// Idempotency-Key. Without a key, no other submission can be recognized as the
// same call, so an intent row would serve no purpose; the call is dispatched
// once.
asio::awaitable<void> PlainService::ClaimAndDispatch(
    HttpExchange& exchange,
    const CallerRequest& request,
    Call call) {
  CallClaim claim(context_, refusal_sender_);
  const bool keyed = !exchange.request().Header("Idempotency-Key").empty();
  if (!call.admitted.idempotent && keyed) {
    const bool granted = co_await claim.Claim(exchange, request, call.service,
                                              call.admitted.deadline);
    if (!granted) {
      context_.decisions.Refund(request.workspace,
                                call.admitted.charged_tokens);
      co_return;
    }
  }
  co_await Dispatch(exchange, request, call, claim);
}

asio::awaitable<void> PlainService::Dispatch(HttpExchange& exchange,
                                             const CallerRequest& request,
                                             const Call& call,
                                             CallClaim& claim) {
  // A call that is not idempotent continues when its caller disconnects or its
  // key is withdrawn, because a resubmission will request its outcome.
  CallerRequest monitored_request = request;
  if (!call.admitted.idempotent) {
    monitored_request.workspace.clear();
  }
  StopMonitor monitor(context_, monitored_request,
                      call.admitted.idempotent ? &exchange : nullptr);
  AttemptTracker attempts(context_,
                          SubjectOf(exchange.request(), request, call));
  while (!monitor.stopped()) {
    const std::optional<PickedTarget> target = co_await attempts.NextTarget();
    if (!target) {
      break;
    }
    AnswerResult read =
        co_await Send(exchange.request(), request, call, *target, monitor);
    Result<HttpResponse>& answer = read.answer;
    if (!answer && !monitor.stopped()) {
      co_await attempts.RecordFailure(answer.error(), read.bytes_sent);
      continue;
    }
    context_.decisions.Finish(target->name, false);
    if (answer) {
      co_await claim.Finish(answer.value());
      HttpResponse response = CreateCallerResponse(answer.value(), request.id);
      co_await exchange.Respond(std::move(response));
    }
    co_await attempts.RecordEnd(answer.has_value());
    if (answer) {
      context_.events.Add(EventKind::kRequestFinished, request.id,
                          request.workspace, target->name, "whole");
      co_return;
    }
  }
  Refusal refusal = monitor.stopped() ? monitor.reason() : attempts.refusal();
  if (refusal.ran == Ran::kNo) {
    co_await claim.Release();
    context_.decisions.Refund(request.workspace, call.admitted.charged_tokens);
  }
  co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
}

// Sends the call to one target and reads the complete answer.
asio::awaitable<AnswerResult> PlainService::Send(const HttpRequest& from,
                                                 const CallerRequest& request,
                                                 const Call& call,
                                                 const PickedTarget& target,
                                                 StopMonitor& monitor) {
  const auto endpoint = ParseEndpoint(target.address);
  if (!endpoint) {
    co_return AnswerResult(endpoint.error(), false);
  }
  TargetRequest order;
  order.endpoint = endpoint.value();
  order.request = CreateTargetRequest(from, request, call.path);
  order.first_byte_deadline =
      std::min(call.admitted.deadline, context_.clock.Now() + call.first_byte);
  order.between_bytes = call.admitted.between_bytes;
  order.choice = call.admitted.idempotent ? ConnectionChoice::kKeptOrFresh
                                          : ConnectionChoice::kFresh;
  const auto executor = co_await asio::this_coro::executor;
  auto pipe = context_.relay.Start(std::move(order), executor);
  if (!pipe) {
    co_return AnswerResult(pipe.error(), false);
  }
  HttpResponse head;
  co_return co_await ReadWholeAnswer(pipe.value(), std::move(head), monitor);
}

}  // namespace jackdaw
