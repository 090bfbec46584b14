#include "entry/model_service.h"

#include <algorithm>

#include "config/model_name.h"
#include "core/digest.h"
#include "entry/admit.h"
#include "entry/answer_reader.h"
#include "entry/stream_assembler.h"
#include "entry/stream_forwarder.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// The target is alive, so the kind is kTimeout: AttemptTracker doesn't check a
// target for a crash after an error of this kind.
Error ForeignAnswerError() {
  return {ErrorKind::kTimeout, "the target sent another request's answer",
          "check the target"};
}

// Describes a completion to the attempt tracker. The digest excludes the key
// and the workspace, so that a request that crashes targets is recognized
// whichever caller sends it.
AttemptSubject SubjectOf(const HttpRequest& from,
                         const CallerRequest& request,
                         const Admitted& admitted,
                         const ModelRequest& model) {
  AttemptSubject subject;
  subject.request_id = request.id;
  subject.workspace = request.workspace;
  subject.model = model.model;
  subject.prompt_tokens = model.prompt_tokens;
  subject.charged_tokens = admitted.charged_tokens;
  subject.prefixes = model.prefixes;
  subject.digest = Sha256Hex(std::string(from.Path()) + "\n" + from.body);
  subject.idempotent = true;
  subject.deadline = admitted.deadline;
  subject.first_byte_deadline = admitted.first_byte_deadline;
  return subject;
}

OpenOptions OpenOptionsFor(const ModelRequest& model,
                           const Admitted& admitted,
                           Instant now) {
  OpenOptions options;
  options.stream = model.stream;
  options.deadline = admitted.deadline;
  options.first_byte = admitted.first_byte_deadline - now;
  options.between_bytes = admitted.between_bytes;
  return options;
}

// Whether an answer belongs to the request. Only a completion carries the
// request id; the body of a 4xx answer is the target's own.
bool AnswersRequest(const HttpResponse& answer, std::string_view request_id) {
  return answer.status >= 400 || HasRequestId(answer.body, request_id);
}

}  // namespace

asio::awaitable<void> ModelService::Serve(HttpExchange& exchange,
                                          CallerRequest request) {
  const HttpRequest& from = exchange.request();
  const auto parsed = ParseModelRequest(from.body);
  if (!parsed) {
    Refusal refusal{RefusalKind::kMalformedRequest, Ran::kNo,
                    parsed.error().Line(), Instant{}};
    co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
    co_return;
  }
  const ModelRequest& model = parsed.value();
  RequestInfo info;
  info.model = model.model;
  info.prompt_tokens = model.prompt_tokens;
  info.max_output_tokens = model.max_tokens;
  std::optional<Admitted> admitted =
      co_await AdmitRequest(context_, refusal_sender_, exchange, request,
                            std::move(info), model.model);
  if (admitted) {
    co_await ServeAdmitted(exchange, request, model, *admitted);
  }
}

asio::awaitable<void> ModelService::ServeAdmitted(HttpExchange& exchange,
                                                  const CallerRequest& request,
                                                  const ModelRequest& model,
                                                  const Admitted& admitted) {
  context_.demand.OnRequest(std::string(SplitModelName(model.model).model),
                            admitted.charged_tokens);
  OpenOptions options = OpenOptionsFor(model, admitted, context_.clock.Now());
  AttemptTracker attempts(
      context_, SubjectOf(exchange.request(), request, admitted, model));
  std::optional<OpenedAnswer> first =
      co_await opener_.Open(exchange, request, options, attempts);
  if (!first) {
    context_.decisions.Refund(request.workspace, admitted.charged_tokens);
    co_await refusal_sender_.Refuse(exchange, request, attempts.refusal());
    co_return;
  }
  context_.metrics.ObserveFirstByte(
      static_cast<double>((context_.clock.Now() - request.arrived).count()) /
      1000.0);
  const std::string target = first->target;
  OpenedAnswer opened = std::move(*first);
  std::int64_t tokens = -1;
  bool whole = false;
  if (model.stream && opened.head.status == 200) {
    StreamForwarder answer(context_, refusal_sender_, opener_, exchange,
                           request, options, attempts);
    whole = co_await answer.Forward(std::move(opened));
    tokens = answer.tokens();
  } else {
    whole = co_await ForwardWholeAnswer(exchange, request, options, attempts,
                                        std::move(opened), tokens);
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

// Reads the complete answer before any of it is forwarded to the caller. An
// answer that is truncated or belongs to another request is dropped, and the
// request is retried at another target.
asio::awaitable<bool> ModelService::ForwardWholeAnswer(
    HttpExchange& exchange,
    const CallerRequest& request,
    const OpenOptions& options,
    AttemptTracker& attempts,
    OpenedAnswer opened,
    std::int64_t& tokens) {
  StopMonitor monitor(context_, request, &exchange);
  for (;;) {
    AnswerResult read =
        co_await ReadWholeAnswer(opened.pipe, std::move(opened.head), monitor);
    opened.pipe->Close();
    const bool answers_request =
        read.answer && AnswersRequest(read.answer.value(), request.id);
    if (answers_request) {
      context_.decisions.Finish(opened.target, false);
      HttpResponse& answer = read.answer.value();
      tokens = ReadCompletionTokens(answer.body);
      HttpResponse response =
          JsonResponse(answer.status, std::move(answer.body));
      response.headers.push_back({"X-Request-Id", request.id});
      const bool forwarded = co_await exchange.Respond(std::move(response));
      co_await attempts.RecordEnd(true);
      co_return forwarded;
    }
    if (monitor.stopped()) {
      context_.decisions.Finish(opened.target, false);
      co_await attempts.RecordEnd(false);
      co_await refusal_sender_.Refuse(exchange, request, monitor.reason());
      co_return false;
    }
    Error error = ForeignAnswerError();
    if (read.answer) {
      context_.metrics.CountDroppedAnswer();
    } else {
      error = read.answer.error();
    }
    co_await attempts.RecordFailure(std::move(error), true);
    std::optional<OpenedAnswer> next =
        co_await opener_.Open(exchange, request, options, attempts);
    if (!next) {
      co_await refusal_sender_.Refuse(exchange, request, attempts.refusal());
      co_return false;
    }
    opened = std::move(*next);
  }
}

}  // namespace jackdaw
