#include "fleet/peer_api.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>

#include "core/log.h"
#include "core/object_reader.h"

namespace jackdaw::serving {
namespace {

namespace json = boost::json;

// Timeout of the request to the leader for an adapter.
constexpr Micros kAdapterTimeout = 400ms;
// Limit of idle connections to each instance.
constexpr std::size_t kMaxIdleConnections = 2;

HttpRequest Post(std::string target, const json::value& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = json::serialize(body);
  return request;
}

}  // namespace

PeerApi::PeerApi(boost::asio::io_context& context,
                 const MonotonicClock& clock,
                 FleetAgent& agent,
                 TargetRegistry& registry,
                 LocalQuotas& quotas,
                 const BootClock& boot_clock,
                 const GatewaySettings& settings)
    : context_(context),
      clock_(clock),
      boot_clock_(boot_clock),
      agent_(agent),
      registry_(registry),
      datagrams_(context,
                 settings.peer,
                 [this](const dispatch::PeerDatagram& message,
                        const Endpoint& sender) {
                   notifier_.OnMessage(message);
                   units_.OnMessage(message, sender);
                 }),
      notifier_(context, clock, agent, registry, datagrams_),
      units_(context, boot_clock, agent, quotas, datagrams_, settings.name),
      http_(context, clock, kMaxIdleConnections) {}

void PeerApi::AnnounceDispatch(const Target& target,
                               const RequestMetadata& call,
                               const SentRequest& sent) {
  notifier_.Announce(target, call, sent);
}

void PeerApi::ChargeUnits(std::string_view workspace,
                          double units,
                          std::function<void(ChargeOutcome)> done) {
  units_.Charge(workspace, units,
                [this, done = std::move(done)](ChargeOutcome outcome) {
                  // Callers' requests are timed by the other clock.
                  outcome.retry_at =
                      clock_.Now() + (outcome.retry_at - boot_clock_.Now());
                  done(std::move(outcome));
                });
}

void PeerApi::LoadAdapter(std::string service,
                          std::string model,
                          std::string adapter,
                          std::function<void(TargetPtr)> done) {
  boost::asio::co_spawn(
      context_,
      RequestAdapter(std::move(service), std::move(model), std::move(adapter)),
      [done = std::move(done)](const std::exception_ptr& failure,
                               TargetPtr target) {
        if (failure != nullptr) {
          Log(LogLevel::kError, "duty_failed", {{"duty", "adapter"}});
        }
        done(failure == nullptr ? std::move(target) : nullptr);
      });
}

boost::asio::awaitable<std::vector<std::string>> PeerApi::PlaceAsLeader(
    std::string service,
    std::string model,
    std::string adapter) {
  const ConfigPtr config = agent_.config();
  const Service* found =
      config == nullptr ? nullptr : config->FindService(service);
  if (found == nullptr) {
    co_return std::vector<std::string>();
  }
  Service copy = *found;
  co_return co_await agent_.order_dispatcher().PlaceAdapter(
      std::move(copy), std::move(model), std::move(adapter));
}

TargetPtr PeerApi::RecordAdapterTargets(const std::vector<std::string>& ids,
                                        const std::string& name) {
  TargetPtr first;
  for (const std::string& id : ids) {
    if (const TargetPtr target = registry_.Find(id)) {
      registry_.SetAdapter(*target, name, true);
      first = first == nullptr ? target : first;
    }
  }
  return first;
}

boost::asio::awaitable<TargetPtr> PeerApi::RequestAdapter(std::string service,
                                                          std::string model,
                                                          std::string adapter) {
  const std::string name = model + "/" + adapter;
  if (agent_.leads()) {
    const std::vector<std::string> ids =
        co_await PlaceAsLeader(service, model, adapter);
    co_return RecordAdapterTargets(ids, name);
  }
  const auto leader = agent_.LeaderAddress();
  if (!leader) {
    co_return nullptr;
  }
  const json::value body{
      {"service", service}, {"model", model}, {"adapter", adapter}};
  HttpRequest request = Post("/peer/adapter", body);
  const Result<HttpResponse> answer = co_await http_.Fetch(
      *leader, std::move(request), clock_.Now() + kAdapterTimeout);
  if (!answer || answer.value().status != 200) {
    co_return nullptr;
  }
  const auto value = ParseJson(answer.value().body);
  if (!value) {
    co_return nullptr;
  }
  ObjectReader reader(value.value(), "");
  const std::vector<std::string> ids = reader.TextsOr("targets");
  co_return RecordAdapterTargets(ids, name);
}

boost::asio::awaitable<void> PeerApi::ServeHeartbeat(HttpExchange& exchange) {
  const auto heartbeat = DecodeHeartbeat(exchange.request().body);
  if (!heartbeat) {
    ++heartbeats_unreadable_;
    Log(LogLevel::kError, "beat_unreadable",
        {{"error", heartbeat.error().Line()}});
    HttpResponse malformed = JsonResponse(400, R"({"error":"malformed"})");
    co_await exchange.Respond(std::move(malformed));
    co_return;
  }
  const auto reply = agent_.OnHeartbeat(heartbeat.value());
  HttpResponse answer =
      reply ? JsonResponse(200, EncodeHeartbeatReply(*reply))
            : JsonResponse(409, R"({"error":"not the leader"})");
  co_await exchange.Respond(std::move(answer));
}

boost::asio::awaitable<void> PeerApi::Serve(HttpExchange& exchange) {
  if (exchange.request().Path() == "/peer/beat") {
    co_await ServeHeartbeat(exchange);
    co_return;
  }
  const auto value = ParseJson(exchange.request().body);
  if (!value) {
    HttpResponse malformed = JsonResponse(400, R"({"error":"not JSON"})");
    co_await exchange.Respond(std::move(malformed));
    co_return;
  }
  ObjectReader reader(value.value(), "");
  if (exchange.request().Path() == "/peer/send" && agent_.leads()) {
    HttpResponse answer = AnswerSend(reader);
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  if (exchange.request().Path() == "/peer/adapter" && agent_.leads()) {
    const std::string service = reader.Text("service");
    const std::string model = reader.Text("model");
    const std::string adapter = reader.Text("adapter");
    const std::vector<std::string> ids =
        co_await PlaceAsLeader(service, model, adapter);
    json::array targets;
    for (const std::string& id : ids) {
      targets.emplace_back(id);
    }
    HttpResponse answer = JsonResponse(
        200, json::serialize(json::value{{"targets", std::move(targets)}}));
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  HttpResponse unknown = JsonResponse(404, R"({"error":"no such call"})");
  co_await exchange.Respond(std::move(unknown));
}

}  // namespace jackdaw::serving
