#include "entry/caller_service.h"

#include <boost/json.hpp>
#include <set>

#include "core/digest.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";

std::string_view BearerKey(const HttpRequest& request) {
  const std::string_view value = request.Header("Authorization");
  return value.starts_with(kBearer) ? value.substr(kBearer.size())
                                    : std::string_view();
}

// The path, query and body are forwarded to a target, which must never receive
// a key.
bool HasKeyOutsideHeader(const HttpRequest& request, std::string_view key) {
  return request.target.find(key) != std::string::npos ||
         request.body.find(key) != std::string::npos;
}

// Counts a request as in flight for the lifetime of the guard.
class InFlightGuard {
 public:
  explicit InFlightGuard(RunState& state) : state_(state) {
    ++state_.in_flight;
  }
  ~InFlightGuard() { --state_.in_flight; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  RunState& state_;
};

}  // namespace

CallerService::CallerService(InstanceContext& context, std::string id_prefix)
    : context_(context),
      refusal_sender_(context),
      models_(context, refusal_sender_),
      plain_(context, refusal_sender_),
      id_prefix_(std::move(id_prefix)) {}

asio::awaitable<void> CallerService::Handle(HttpExchange& exchange) {
  const InFlightGuard in_flight(context_.run_state);
  context_.metrics.SetInFlight(
      static_cast<double>(context_.run_state.in_flight.load()));
  if (context_.run_state.leaving) {
    exchange.CloseAfter();
  }
  CallerRequest request;
  request.id = id_prefix_ + std::to_string(next_id_++);
  request.arrived = context_.clock.Now();
  const std::string_view key = BearerKey(exchange.request());
  if (!key.empty()) {
    request.key_digest = Sha256Hex(key);
    if (HasKeyOutsideHeader(exchange.request(), key)) {
      Refusal refusal{RefusalKind::kMalformedRequest, Ran::kNo,
                      "the key stands outside the Authorization header",
                      Instant{}};
      co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
      co_return;
    }
  }
  co_await Serve(exchange, std::move(request));
}

asio::awaitable<void> CallerService::Serve(HttpExchange& exchange,
                                           CallerRequest request) {
  const HttpRequest& from = exchange.request();
  const std::string_view path = from.Path();
  if (context_.run_state.refuse_new && path != "/v1/entry") {
    Refusal refusal{RefusalKind::kLeaving, Ran::kNo, "the instance is leaving",
                    context_.clock.Now() + 1s};
    co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
  } else if (path == "/v1/entry") {
    co_await exchange.Respond(EntryResponse());
  } else if (path == "/v1/models") {
    co_await exchange.Respond(ModelsResponse());
  } else if (from.method == "POST" &&
             (path == "/v1/completions" || path == "/v1/chat/completions")) {
    co_await models_.Serve(exchange, std::move(request));
  } else if (path.starts_with("/call/")) {
    co_await plain_.Serve(exchange, std::move(request));
  } else {
    Refusal refusal{RefusalKind::kUnknownRoute, Ran::kNo,
                    "no route " + from.method + " " + std::string(path),
                    Instant{}};
    co_await refusal_sender_.Refuse(exchange, request, std::move(refusal));
  }
}

HttpResponse CallerService::EntryResponse() const {
  const FleetViewPtr view = context_.view.Get();
  json::array addresses;
  for (const auto& instance : view->instances) {
    const bool self = instance.name == context_.settings.name;
    const bool leaving = instance.state == InstanceState::kLeaving ||
                         (self && context_.run_state.leaving);
    const bool offered = self || view->offered.contains(instance.name);
    if (!leaving && offered) {
      addresses.push_back(
          json::object{{"address", instance.entry_address},
                       {"failure_domain", instance.failure_domain},
                       {"weight", 1}});
    }
  }
  const Instant now = context_.clock.Now();
  const std::int64_t keep_ms =
      view->config
          ? SettingFor(*view->config, "entry_keep_ms", "fleet", ToMillis(now))
          : FindSetting("entry_keep_ms")->fallback;
  if (!context_.run_state.leaving) {
    context_.run_state.entry_cached_until_ms = ToMillis(now) + keep_ms;
  }
  return JsonResponse(200, json::serialize(json::object{
                               {"addresses", std::move(addresses)},
                               {"until_ms", ToMillis(now) + keep_ms}}));
}

HttpResponse CallerService::ModelsResponse() const {
  const FleetViewPtr view = context_.view.Get();
  std::set<std::string> names;
  if (view->config) {
    for (const auto& deployment : view->config->deployments) {
      names.insert(deployment.models.begin(), deployment.models.end());
    }
  }
  json::array entries;
  for (const auto& name : names) {
    entries.push_back(json::object{{"id", name}, {"object", "model"}});
  }
  return JsonResponse(
      200, json::serialize(
               json::object{{"object", "list"}, {"data", std::move(entries)}}));
}

}  // namespace jackdaw
