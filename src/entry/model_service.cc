#include "entry/model_service.h"

#include <algorithm>
#include <variant>

#include "entry/answer_reader.h"
#include "entry/stream_answer.h"
#include "entry/stream_assembler.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Whole answers asked for, where a target's is truncated or not this
// request's.
constexpr int kMaxWholeAnswers = 2;

Refusal TargetFailed(const Error& error, Ran ran, Instant now) {
  if (error.kind == ErrorKind::kNotFound) {
    return {RefusalKind::kNoTarget, ran, error.message, now + 1s};
  }
  if (error.kind == ErrorKind::kOverloaded) {
    return {RefusalKind::kOverloaded, ran, error.message, now + 1s};
  }
  return {RefusalKind::kTargetFailed, ran, error.Line(), now + 1s};
}

OpenOrder OrderFor(const ModelRequest& model,
                   const Admitted& admitted,
                   Instant now) {
  OpenOrder order;
  order.model = model.model;
  order.stream = model.stream;
  order.deadline = admitted.deadline;
  order.first_byte = admitted.first_byte_deadline - now;
  order.between_bytes = admitted.between_bytes;
  return order;
}

// A target may answer 4xx with a body of its own; only a completion names
// its request.
bool IsOwnAnswer(const HttpResponse& answer, std::string_view request_id) {
  return answer.status >= 400 || CarriesId(answer.body, request_id);
}

}  // namespace

asio::awaitable<void> ModelService::Serve(HttpExchange& exchange,
                                          CallerRequest request) {
  const HttpRequest& from = exchange.request();
  const auto parsed = ParseModelRequest(from.body);
  if (!parsed) {
    Refusal refusal{RefusalKind::kMalformedRequest, Ran::kNo,
                    parsed.error().Line(), Instant{}};
    co_await refuser_.Refuse(exchange, request, std::move(refusal));
    co_return;
  }
  const ModelRequest& model = parsed.value();
  RequestInfo info;
  info.request_id = request.id;
  info.key_digest = request.key_digest;
  info.model = model.model;
  info.prompt_tokens = model.prompt_tokens;
  info.max_output_tokens = model.max_tokens;
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
  const Admitted admitted = std::get<Admitted>(decided.value());
  request.workspace = admitted.workspace;
  context_.metrics.CountRequest(request.workspace);
  context_.events.Add(EventKind::kRequestAdmitted, request.id,
                      request.workspace, {}, model.model);
  co_await Run(exchange, request, model, admitted);
}

asio::awaitable<void> ModelService::Run(HttpExchange& exchange,
                                        const CallerRequest& request,
                                        const ModelRequest& model,
                                        const Admitted& admitted) {
  OpenOrder order = OrderFor(model, admitted, context_.clock.Now());
  OpenResult result = co_await opener_.Open(exchange, request, order);
  if (!result.opened) {
    context_.decisions.Refund(request.workspace, admitted.charged_tokens);
    co_await RefuseFailed(exchange, request, result.error,
                          result.bytes_sent ? Ran::kUnknown : Ran::kNo);
    co_return;
  }
  context_.metrics.ObserveFirstByte(
      static_cast<double>((context_.clock.Now() - request.arrived).count()) /
      1000.0);
  const std::string target = result.opened->target;
  OpenedAnswer opened = std::move(*result.opened);
  std::int64_t tokens = -1;
  bool whole = false;
  if (model.stream && opened.head.status == 200) {
    StreamAnswer answer(context_, refuser_, opener_, exchange, request,
                        std::move(order));
    whole = co_await answer.Pass(std::move(opened));
    tokens = answer.tokens();
  } else {
    whole =
        co_await PassWhole(exchange, request, order, std::move(opened), tokens);
  }
  if (tokens >= 0) {
    RefundUnused(request, admitted, model.prompt_tokens + tokens);
  }
  context_.events.Add(EventKind::kRequestFinished, request.id,
                      request.workspace, target,
                      whole ? "whole" : "ended early");
}

void ModelService::RefundUnused(const CallerRequest& request,
                                const Admitted& admitted,
                                std::int64_t used) {
  context_.decisions.Refund(
      request.workspace,
      std::max<std::int64_t>(0, admitted.charged_tokens - used));
}

asio::awaitable<void> ModelService::RefuseFailed(HttpExchange& exchange,
                                                 const CallerRequest& request,
                                                 const Error& error,
                                                 Ran ran) {
  Refusal refusal = TargetFailed(error, ran, context_.clock.Now());
  co_await refuser_.Refuse(exchange, request, std::move(refusal));
}

// Reads the answer to its explicit end before any of it is passed on. One
// that is truncated or another request's is asked for once more elsewhere.
asio::awaitable<bool> ModelService::PassWhole(HttpExchange& exchange,
                                              const CallerRequest& request,
                                              OpenOrder& order,
                                              OpenedAnswer opened,
                                              std::int64_t& tokens) {
  Error error;
  for (int round = 1;; ++round) {
    StopWatch watch(context_, request, &exchange);
    ReadAnswer read =
        co_await ReadWholeAnswer(opened.pipe, std::move(opened.head), watch);
    opened.pipe->Close();
    const bool own =
        read.answer && IsOwnAnswer(read.answer.value(), request.id);
    context_.decisions.Finish(opened.target, !own && !watch.stopped());
    if (own) {
      HttpResponse& answer = read.answer.value();
      tokens = ReadCompletionTokens(answer.body);
      HttpResponse response =
          JsonResponse(answer.status, std::move(answer.body));
      response.headers.push_back({"X-Request-Id", request.id});
      co_return co_await exchange.Respond(std::move(response));
    }
    if (watch.stopped()) {
      co_await refuser_.Refuse(exchange, request, watch.reason());
      co_return false;
    }
    if (read.answer) {
      context_.metrics.CountDroppedAnswer();
    }
    error = read.answer ? Error{ErrorKind::kMalformed,
                                "the target sent another request's answer",
                                "check the target"}
                        : read.answer.error();
    order.tried.push_back(opened.target);
    if (round == kMaxWholeAnswers) {
      break;
    }
    OpenResult next = co_await opener_.Open(exchange, request, order);
    if (!next.opened) {
      break;
    }
    opened = std::move(*next.opened);
  }
  co_await RefuseFailed(exchange, request, error, Ran::kUnknown);
  co_return false;
}

}  // namespace jackdaw
