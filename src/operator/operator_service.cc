#include "operator/operator_service.h"

#include <boost/json.hpp>

#include "core/log.h"
#include "membership/instance_entry.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Timeout of one request to the platform.
constexpr Micros kPlatformTimeout = 3s;

int HttpStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kInvalidSetting:
    case ErrorKind::kMalformed:
      return 400;
    default:
      return 503;
  }
}

HttpResponse ErrorResponse(const Error& error) {
  return JsonResponse(HttpStatus(error.kind),
                      json::serialize(json::object{{"kind", Name(error.kind)},
                                                   {"detail", error.message},
                                                   {"remedy", error.remedy}}));
}

HttpResponse ConfigResponse(std::uint64_t version) {
  return JsonResponse(200, json::serialize(json::object{{"version", version}}));
}

HttpResponse DocumentResponse(std::uint64_t version,
                              std::string_view document) {
  return JsonResponse(200, json::serialize(json::object{
                               {"version", version}, {"document", document}}));
}

}  // namespace

OperatorService::OperatorService(InstanceContext& context,
                                 Duty& duty,
                                 std::function<void()> begin_drain)
    : context_(context),
      platform_(duty.context(), context.clock, context.settings.platform),
      writer_(duty.context(), context),
      refusals_(duty.context(),
                context.clock,
                context.settings.platform,
                context.view),
      begin_drain_(std::move(begin_drain)) {}

asio::awaitable<void> OperatorService::Handle(HttpExchange& exchange) {
  HttpResponse response = co_await Route(exchange.request());
  co_await exchange.Respond(std::move(response));
}

asio::awaitable<HttpResponse> OperatorService::Route(
    const HttpRequest& request) {
  const std::string_view path = request.Path();
  if (path == "/healthz") {
    co_return JsonResponse(200, R"({"alive":true})");
  }
  if (path == "/readyz") {
    co_return ReadyResponse();
  }
  if (path == "/metrics") {
    HttpResponse response = JsonResponse(200, context_.metrics.Expose());
    response.headers[0].value = "text/plain; version=0.0.4";
    co_return response;
  }
  if (path == "/v1/status") {
    co_return StatusResponse();
  }
  if (path == "/v1/events") {
    co_return JsonResponse(
        200, EncodeEvents(context_.settings.name, context_.events));
  }
  if (path == "/v1/placement") {
    co_return JsonResponse(200, context_.placement.StatusJson());
  }
  if (path == "/v1/instances") {
    co_return JsonResponse(200,
                           EncodeInstances(context_.view.Get()->instances));
  }
  if (path == "/v1/config") {
    if (request.method == "PUT") {
      co_return co_await PutConfig(request);
    }
    co_return co_await GetConfig();
  }
  if (path == "/v1/refusals") {
    co_return co_await GetRefusals(request);
  }
  if (path == "/v1/drain" && request.method == "POST") {
    begin_drain_();
    co_return JsonResponse(202, R"({"draining":true})");
  }
  co_return ErrorResponse({ErrorKind::kNotFound, "no such path",
                           "see docs/OPERATIONS.md for the interface"});
}

HttpResponse OperatorService::ReadyResponse() const {
  if (context_.run_state.leaving) {
    return JsonResponse(503, R"({"ready":false,"reason":"leaving"})");
  }
  if (!context_.run_state.ready) {
    return JsonResponse(
        503, context_.run_state.store_reachable
                 ? R"({"ready":false,"reason":"no configuration read yet"})"
                 : R"({"ready":false,"reason":"the platform was not reached )"
                   R"(yet, and no peer gave a configuration"})");
  }
  if (ToMillis(context_.clock.Now()) * 1000 >
      context_.run_state.keys_valid_until_us) {
    return JsonResponse(
        503, R"({"ready":false,"reason":"the instance stood still and has not )"
             R"(looked for a newer configuration yet"})");
  }
  return JsonResponse(200, R"({"ready":true})");
}

HttpResponse OperatorService::StatusResponse() const {
  const FleetViewPtr view = context_.view.Get();
  return JsonResponse(
      200, json::serialize(json::object{
               {"instance", context_.settings.name},
               {"failure_domain", context_.settings.failure_domain},
               {"config_version", view->config ? view->config->version : 0},
               {"ready", context_.run_state.ready.load()},
               {"leaving", context_.run_state.leaving.load()},
               {"store_reachable", context_.run_state.store_reachable.load()},
               {"requests_in_flight", context_.run_state.in_flight.load()},
               {"keys_valid_until_ms",
                context_.run_state.keys_valid_until_us.load() / 1000},
               {"refused_total", context_.refusals.added()},
               {"records_made", context_.refusals.made()},
               {"records_stored", context_.refusals.stored()}}));
}

// Returns the newest configuration from the table, so that edits are based on
// it. If the table cannot be read, returns the one in force on this instance.
asio::awaitable<HttpResponse> OperatorService::GetConfig() {
  ReadQuery query;
  query.keys.emplace_back(kConfigRow);
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), context_.clock.Now() + kPlatformTimeout);
  if (rows && !rows.value().empty()) {
    const auto head = DecodePublishedConfig(rows.value().front().value);
    if (head) {
      co_return DocumentResponse(head.value().version, head.value().document);
    }
  }
  const FleetViewPtr view = context_.view.Get();
  co_return view->config
      ? DocumentResponse(view->config->version, view->document)
      : DocumentResponse(0, "{}");
}

asio::awaitable<HttpResponse> OperatorService::PutConfig(
    const HttpRequest& request) {
  Result<ConfigWrite> write = ParseConfigWrite(request);
  if (!write) {
    co_return ErrorResponse(write.error());
  }
  Result<std::uint64_t> version =
      co_await writer_.Write(std::move(write.value()));
  co_return version ? ConfigResponse(version.value())
                    : ErrorResponse(version.error());
}

asio::awaitable<HttpResponse> OperatorService::GetRefusals(
    const HttpRequest& request) {
  Result<json::object> page = co_await refusals_.Read(request);
  co_return page ? JsonResponse(200, json::serialize(page.value()))
                 : ErrorResponse(page.error());
}

}  // namespace jackdaw
