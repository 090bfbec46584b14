#include "entry/admit.h"

#include <variant>

#include "entry/key_check.h"

namespace jackdaw {

namespace asio = boost::asio;

asio::awaitable<std::optional<Admitted>> AdmitRequest(
    InstanceContext& context,
    RefusalSender& refusal_sender,
    HttpExchange& exchange,
    CallerRequest& request,
    RequestInfo info,
    std::string description) {
  info.request_id = request.id;
  info.key_digest = request.key_digest;
  info.keys_valid_until = KeysValidUntil(context);
  Result<AdmitResult> decided =
      co_await context.decisions.Admit(std::move(info));
  if (!decided) {
    Refusal refusal{RefusalKind::kOverloaded, Ran::kNo, decided.error().Line(),
                    context.clock.Now() + 1s};
    co_await refusal_sender.Refuse(exchange, request, std::move(refusal));
    co_return std::nullopt;
  }
  if (const auto* refused = std::get_if<Refused>(&decided.value())) {
    request.workspace = refused->workspace;
    co_await refusal_sender.Refuse(exchange, request, refused->refusal);
    co_return std::nullopt;
  }
  Admitted admitted = std::get<Admitted>(decided.value());
  request.workspace = admitted.workspace;
  context.metrics.CountRequest(request.workspace);
  context.events.Add(EventKind::kRequestAdmitted, request.id, request.workspace,
                     {}, std::move(description));
  co_return admitted;
}

}  // namespace jackdaw
