#include "entry/refusal_sender.h"

#include "entry/problem.h"

namespace jackdaw {

namespace asio = boost::asio;

void RefusalSender::Record(const CallerRequest& request,
                           const Refusal& refusal) {
  const FleetViewPtr view = context_.view.Get();
  RefusalRecord record;
  record.when = context_.clock.Now();
  record.request_id = request.id;
  record.workspace = request.workspace;
  record.key_digest = request.key_digest;
  record.instance = context_.settings.name;
  record.kind = refusal.kind;
  record.ran = refusal.ran;
  record.reason = refusal.reason;
  record.config_version = view->config ? view->config->version : 0;
  context_.refusals.Add(std::move(record));
  context_.metrics.CountRefusal(refusal.kind, refusal.ran);
  context_.events.Add(
      EventKind::kRequestRefused, request.id, request.workspace, {},
      std::string(TraitsOf(refusal.kind).name) + ": " + refusal.reason);
}

asio::awaitable<void> RefusalSender::Refuse(HttpExchange& exchange,
                                            const CallerRequest& request,
                                            Refusal refusal) {
  Record(request, refusal);
  HttpResponse response =
      ProblemResponse(refusal, request.id, context_.clock.Now());
  co_await exchange.Respond(std::move(response));
}

asio::awaitable<void> RefusalSender::RefuseStream(HttpExchange& exchange,
                                                  const CallerRequest& request,
                                                  Refusal refusal) {
  Record(request, refusal);
  const std::string event =
      "event: error\ndata: " + ProblemJson(refusal, request.id) + "\n\n";
  exchange.CloseAfter();
  if (co_await exchange.WriteChunk(event)) {
    co_await exchange.EndStream();
  }
}

}  // namespace jackdaw
