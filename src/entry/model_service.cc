#include "entry/model_service.h"

#include <boost/asio/this_coro.hpp>
#include <variant>

#include "core/digest.h"
#include "entry/key_check.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Longest wait between two looks at whether a stream's key still lives.
constexpr auto kKeyCheckTime = std::chrono::milliseconds(250);

std::chrono::steady_clock::time_point SteadyIn(Micros span) {
  return std::chrono::steady_clock::now() + span;
}

// Only these headers reach a target; a key never does.
HttpRequest ForTarget(const HttpRequest& from, const CallerRequest& request) {
  HttpRequest to;
  to.method = from.method;
  to.target = std::string(from.Path());
  to.headers.push_back({"Content-Type", "application/json"});
  to.headers.push_back({"X-Request-Id", request.id});
  to.body = from.body;
  return to;
}

// What the attempts of a completion are made for. The digest leaves out who
// asks, so that a crashing request is known whoever sends it.
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

// A whole answer with a server error is no crash: kTimeout stands for it.
Error WhyNotOpened(const std::optional<RelayItem>& item) {
  if (!item) {
    return {ErrorKind::kTimeout, "no answer before the deadline", "send again"};
  }
  if (item->kind == RelayItem::Kind::kFailure) {
    return item->error;
  }
  return {ErrorKind::kTimeout,
          "target answered " + std::to_string(item->head.status),
          "check the target"};
}

Refusal TargetFailed(const Error& error, Ran ran, Instant now) {
  if (error.kind == ErrorKind::kNotFound) {
    return {RefusalKind::kNoTarget, Ran::kNo, error.message, now + 1s};
  }
  if (error.kind == ErrorKind::kOverloaded) {
    return {RefusalKind::kOverloaded, Ran::kNo, error.message, now + 1s};
  }
  return {RefusalKind::kTargetFailed, ran, error.Line(), now + 1s};
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
  info.keys_valid_until = KeysValidUntil(context_);
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
  context_.demand.OnRequest(model.model, admitted.charged_tokens);
  Attempts attempts(context_, SubjectOf(from, request, admitted, model));
  std::optional<Opened> opened =
      co_await Open(from, request, admitted, attempts);
  if (!opened) {
    context_.decisions.Refund(request.workspace, admitted.charged_tokens);
    co_await refuser_.Refuse(exchange, request, attempts.refusal());
    co_return;
  }
  context_.metrics.ObserveFirstByte(
      static_cast<double>((context_.clock.Now() - request.arrived).count()) /
      1000.0);
  std::int64_t tokens = -1;
  const bool whole =
      model.stream ? co_await PassStream(exchange, request, *opened, tokens)
                   : co_await PassWhole(exchange, request, *opened, tokens);
  opened->pipe->Close();
  if (!opened->failed) {
    context_.decisions.Finish(opened->target, !whole);
    co_await attempts.Ended(whole);
  }
  if (tokens >= 0) {
    const std::int64_t unused =
        admitted.charged_tokens - model.prompt_tokens - tokens;
    context_.decisions.Refund(request.workspace,
                              std::max<std::int64_t>(0, unused));
  }
  context_.events.Add(EventKind::kRequestFinished, request.id,
                      request.workspace, opened->target,
                      whole ? "whole" : "ended early");
}

// Sends the request to a target and waits for the head of its answer. A
// completion is idempotent, so a failure before the head allows another try.
asio::awaitable<std::optional<ModelService::Opened>> ModelService::Open(
    const HttpRequest& from,
    const CallerRequest& request,
    const Admitted& admitted,
    Attempts& attempts) {
  const auto executor = co_await asio::this_coro::executor;
  for (;;) {
    const std::optional<PickedTarget> target = co_await attempts.Next();
    if (!target) {
      co_return std::nullopt;
    }
    const auto endpoint = ParseEndpoint(target->address);
    if (!endpoint) {
      co_await attempts.Failed(endpoint.error(), false);
      continue;
    }
    RelayOrder order;
    order.endpoint = endpoint.value();
    order.request = ForTarget(from, request);
    order.request.headers.push_back(
        {"X-Priority", std::to_string(target->priority)});
    order.first_byte_deadline = std::min(
        admitted.deadline, admitted.first_byte_deadline + attempts.waited());
    order.between_bytes = admitted.between_bytes;
    auto pipe = context_.relay.Start(std::move(order), executor);
    if (!pipe) {
      co_await attempts.Failed(pipe.error(), false);
      continue;
    }
    std::optional<RelayItem> item = co_await pipe.value()->Pop(
        SteadyIn(admitted.deadline - context_.clock.Now()));
    if (item && item->kind == RelayItem::Kind::kHead &&
        item->head.status < 500) {
      co_return Opened{target->name, pipe.value(), std::move(item->head),
                       &attempts, false};
    }
    pipe.value()->Close();
    const bool sent =
        !item || item->kind == RelayItem::Kind::kHead || item->bytes_sent;
    const Error failure = WhyNotOpened(item);
    co_await attempts.Failed(failure, sent);
  }
}

asio::awaitable<bool> ModelService::PassWhole(HttpExchange& exchange,
                                              const CallerRequest& request,
                                              Opened& opened,
                                              std::int64_t& tokens) {
  std::string body;
  for (;;) {
    std::optional<RelayItem> item =
        co_await opened.pipe->Pop(SteadyIn(kKeyCheckTime));
    std::optional<Refusal> ended = KeyEnded(context_, request.key_digest);
    if (ended) {
      co_await refuser_.Refuse(exchange, request, std::move(*ended));
      co_return true;
    }
    if (!item) {
      continue;
    }
    if (item->kind == RelayItem::Kind::kFailure) {
      opened.failed = true;
      co_await opened.attempts->Failed(item->error, true);
      Refusal refusal =
          TargetFailed(item->error, Ran::kUnknown, context_.clock.Now());
      co_await refuser_.Refuse(exchange, request, std::move(refusal));
      co_return false;
    }
    if (item->kind == RelayItem::Kind::kEnd) {
      break;
    }
    body += item->bytes;
  }
  tokens = ReadCompletionTokens(body);
  HttpResponse response = JsonResponse(opened.head.status, std::move(body));
  response.headers.push_back({"X-Request-Id", request.id});
  co_await exchange.Respond(std::move(response));
  co_return true;
}

asio::awaitable<bool> ModelService::PassStream(HttpExchange& exchange,
                                               const CallerRequest& request,
                                               Opened& opened,
                                               std::int64_t& tokens) {
  HttpResponse head;
  head.status = opened.head.status;
  head.headers.push_back(
      {"Content-Type",
       std::string(FindHeader(opened.head.headers, "Content-Type"))});
  head.headers.push_back({"X-Request-Id", request.id});
  bool wanted = co_await exchange.BeginStream(std::move(head));
  EventScanner scanner;
  while (wanted) {
    std::optional<RelayItem> item =
        co_await opened.pipe->Pop(SteadyIn(kKeyCheckTime));
    tokens = scanner.events();
    std::optional<Refusal> ended = KeyEnded(context_, request.key_digest);
    if (ended) {
      co_await refuser_.RefuseStream(exchange, request, std::move(*ended));
      co_return true;
    }
    if (!item) {
      continue;
    }
    if (item->kind == RelayItem::Kind::kChunk) {
      const std::int64_t before = scanner.events();
      const std::string events = scanner.Feed(item->bytes);
      wanted = co_await exchange.WriteChunk(events);
      context_.metrics.CountTokens(
          static_cast<std::uint64_t>(scanner.events() - before));
    } else if (item->kind == RelayItem::Kind::kEnd && scanner.done()) {
      tokens = scanner.events();
      co_return co_await exchange.EndStream();
    } else {
      opened.failed = true;
      co_await opened.attempts->Failed(item->error, true);
      Refusal refusal{RefusalKind::kTargetFailed, Ran::kUnknown,
                      "the stream broke off: " + item->error.Line(),
                      context_.clock.Now() + 1s};
      co_await refuser_.RefuseStream(exchange, request, std::move(refusal));
      co_return false;
    }
  }
  co_return true;
}

}  // namespace jackdaw
