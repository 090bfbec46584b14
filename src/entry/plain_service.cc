#include "entry/plain_service.h"

#include <boost/asio/this_coro.hpp>

#include "core/digest.h"
#include "entry/admit.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kCallPath = "/call/";

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
  info.service = call.service;
  info.method = from.method;
  info.path = call.path;
  std::optional<Admitted> admitted =
      co_await AdmitOrRefuse(context_, refuser_, exchange, request,
                             std::move(info), call.service + call.path);
  if (!admitted) {
    co_return;
  }
  call.admitted = *admitted;
  call.first_byte = call.admitted.first_byte_deadline - context_.clock.Now();
  co_await Run(exchange, request, std::move(call));
}

// A call that may not be repeated is claimed first where the caller gave it
// an Idempotency-Key. Without one no other submission can be told to be the
// same call, so that a row would tell nobody anything: it is dispatched once.
asio::awaitable<void> PlainService::Run(HttpExchange& exchange,
                                        const CallerRequest& request,
                                        Call call) {
  CallClaim claim(context_, refuser_);
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
  // A call that may not be repeated goes on when its caller leaves or its key
  // is withdrawn: its outcome is what a resubmission asks for.
  CallerRequest watched = request;
  if (!call.admitted.idempotent) {
    watched.workspace.clear();
  }
  StopWatch watch(context_, watched,
                  call.admitted.idempotent ? &exchange : nullptr);
  Attempts attempts(context_, SubjectOf(exchange.request(), request, call));
  while (!watch.stopped()) {
    const std::optional<PickedTarget> target = co_await attempts.Next();
    if (!target) {
      break;
    }
    ReadAnswer read =
        co_await Send(exchange.request(), request, call, *target, watch);
    Result<HttpResponse>& answer = read.answer;
    if (!answer && !watch.stopped()) {
      co_await attempts.Failed(answer.error(), read.bytes_sent);
      continue;
    }
    context_.decisions.Finish(target->name, false);
    if (answer) {
      co_await claim.Finish(answer.value());
      HttpResponse response = ForCaller(answer.value(), request.id);
      co_await exchange.Respond(std::move(response));
    }
    co_await attempts.Ended(answer.has_value());
    if (answer) {
      context_.events.Add(EventKind::kRequestFinished, request.id,
                          request.workspace, target->name, "whole");
      co_return;
    }
  }
  Refusal refusal = watch.stopped() ? watch.reason() : attempts.refusal();
  if (refusal.ran == Ran::kNo) {
    co_await claim.Release();
    context_.decisions.Refund(request.workspace, call.admitted.charged_tokens);
  }
  co_await refuser_.Refuse(exchange, request, std::move(refusal));
}

// Sends the call to one target and reads the whole answer.
asio::awaitable<ReadAnswer> PlainService::Send(const HttpRequest& from,
                                               const CallerRequest& request,
                                               const Call& call,
                                               const PickedTarget& target,
                                               StopWatch& watch) {
  const auto endpoint = ParseEndpoint(target.address);
  if (!endpoint) {
    co_return ReadAnswer(endpoint.error(), false);
  }
  TargetRequest order;
  order.endpoint = endpoint.value();
  order.request = ForTarget(from, request, call.path);
  order.first_byte_deadline =
      std::min(call.admitted.deadline, context_.clock.Now() + call.first_byte);
  order.between_bytes = call.admitted.between_bytes;
  order.choice = call.admitted.idempotent ? ConnectionChoice::kKeptOrFresh
                                          : ConnectionChoice::kFresh;
  const auto executor = co_await asio::this_coro::executor;
  auto pipe = context_.relay.Start(std::move(order), executor);
  if (!pipe) {
    co_return ReadAnswer(pipe.error(), false);
  }
  HttpResponse head;
  co_return co_await ReadWholeAnswer(pipe.value(), std::move(head), watch);
}

}  // namespace jackdaw
