#include "gateway/gateway.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <functional>

#include "core/log.h"
#include "core/object_reader.h"
#include "platform/directory.h"

namespace jackdaw::serving {
namespace {

// A caller may keep the directory's answer this long before it has to ask
// again; short, so that instances that stop are left soon.
constexpr Micros kDirectoryKeep = 2s;
// Time for which an instance that stops still takes requests: callers have
// asked the directory again by then.
constexpr Micros kStopTaking = 2500ms;
// Time kept back at the end of a stop.
constexpr Micros kStopMargin = 700ms;
// Pace at which a stop looks whether the work is done.
constexpr Micros kStopLook = 100ms;
// Looks whether the last answers have left, and the time between two.
constexpr int kEndLooks = 10;
constexpr Micros kEndLook = 20ms;
// How soon a caller may try another instance.
constexpr std::string_view kElsewhere =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

// Connections of control calls.
HttpLimits ControlLimits() {
  HttpLimits limits;
  limits.connections = 512;
  return limits;
}

}  // namespace

Gateway::Gateway(const GatewaySettings& settings, std::string settings_path)
    : settings_(settings),
      settings_path_(std::move(settings_path)),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      deadlines_(context_, clock_),
      board_(settings.failure_domain),
      links_(context_, clock_),
      quotas_(settings.quotas),
      retries_(settings.retries),
      agent_(context_,
             settings_,
             clock_,
             boot_clock_,
             board_,
             links_,
             quotas_,
             retries_,
             crashes_,
             demand_),
      peers_(context_, clock_, agent_, board_, quotas_, settings_.peer),
      ports_{clock_,   deadlines_, board_, links_,  quotas_,  retries_,
             crashes_, demand_,    waits_, counts_, metrics_, peers_},
      listener_(context_, *this, deadlines_, clock_),
      ready_server_(
          context_,
          ControlLimits(),
          [this](HttpExchange& exchange) { return ServeReady(exchange); }),
      directory_server_(
          context_,
          ControlLimits(),
          [this](HttpExchange& exchange) { return ServeDirectory(exchange); }),
      peer_server_(
          context_,
          ControlLimits(),
          [this](HttpExchange& exchange) { return peers_.Serve(exchange); }),
      metrics_server_(
          context_,
          ControlLimits(),
          [this](HttpExchange& exchange) { return ServeMetrics(exchange); }) {}

// Operations that are pending refer to the parts of the instance.
Gateway::~Gateway() {
  context_.EndPending();
}

Result<void> Gateway::Listen() {
  BOOST_OUTCOME_TRY(listener_.Listen(settings_.entry));
  BOOST_OUTCOME_TRY(ready_server_.Listen(settings_.ready));
  BOOST_OUTCOME_TRY(directory_server_.Listen(settings_.directory));
  BOOST_OUTCOME_TRY(peer_server_.Listen(settings_.peer));
  BOOST_OUTCOME_TRY(peers_.Listen());
  BOOST_OUTCOME_TRY(metrics_server_.Listen(settings_.metrics));
  return success();
}

Result<void> Gateway::Run() {
  BOOST_OUTCOME_TRY(Listen());
  AwaitSignal();
  agent_.Start();
  Log(LogLevel::kInfo, "start",
      {{"version", JACKDAW_VERSION},
       {"entry", ToText(settings_.entry)},
       {"store", ToText(settings_.store)}});
  context_.run();
  Log(LogLevel::kInfo, "stopped",
      {{"requests", std::to_string(counts_.begun)}});
  return success();
}

void Gateway::Stop() {
  boost::asio::post(context_, [this] { OnStop(); });
}

void Gateway::Abandon() {
  boost::asio::post(context_, [this] { context_.stop(); });
}

void Gateway::AwaitSignal() {
  signals_.async_wait([this](const auto& failure, int signal) {
    if (failure) {
      return;
    }
    if (signal == SIGHUP) {
      OnReload();
    } else {
      OnStop();
    }
    AwaitSignal();
  });
}

// Settings that differ take effect at the next start; a wrong file is named.
void Gateway::OnReload() {
  const auto text = ReadFile(settings_path_);
  const auto settings = text ? ParseGatewaySettings(text.value())
                             : Result<GatewaySettings>(text.error());
  if (!settings) {
    Log(LogLevel::kError, "reload_refused",
        {{"error", settings.error().Line()}});
    return;
  }
  Log(LogLevel::kInfo, "reloaded", {{"path", settings_path_}});
}

void Gateway::OnStop() {
  if (stop_at_ != Instant{}) {
    return;
  }
  stop_at_ = clock_.Now();
  Log(LogLevel::kInfo, "stop_asked",
      {{"under_way", std::to_string(counts_.under_way)}});
  agent_.BeginDrain();
  boost::asio::co_spawn(context_, RunDrain(), boost::asio::detached);
}

boost::asio::awaitable<void> Gateway::RunDrain() {
  const Instant end_at = stop_at_ + settings_.stop_time - kStopMargin;
  boost::asio::steady_timer timer(context_);
  for (;;) {
    const Instant now = clock_.Now();
    const bool idle = counts_.under_way == 0 && listener_.busy() == 0 &&
                      now > stop_at_ + kStopTaking;
    if (idle || now >= end_at) {
      break;
    }
    timer.expires_after(kStopLook);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  listener_.StopAccepting();
  listener_.EndTasks();
  for (int i = 0; i < kEndLooks && listener_.busy() > 0; ++i) {
    timer.expires_after(kEndLook);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  co_await agent_.Leave();
  Log(LogLevel::kInfo, "drained",
      {{"under_way", std::to_string(counts_.under_way)}});
  context_.stop();
}

CallerLimits Gateway::limits() const {
  const ConfigPtr config = agent_.config();
  return config == nullptr ? CallerLimits{} : config->limits;
}

std::shared_ptr<CallerTask> Gateway::Begin(
    std::shared_ptr<CallerConnection> connection,
    CallerRequest request,
    Instant began) {
  if (stop_at_ != Instant{} && clock_.Now() > stop_at_ + kStopTaking) {
    connection->Write(std::string(kElsewhere));
    connection->EndAnswer(false);
    return nullptr;
  }
  auto exchange =
      std::make_shared<Exchange>(std::move(connection), std::move(request),
                                 agent_.config(), ports_, began, closing());
  exchange->Start();
  return exchange;
}

boost::asio::awaitable<void> Gateway::ServeReady(HttpExchange& exchange) {
  const bool asked = platform::IsReadinessRequest(exchange.request());
  const int status = !asked ? 404 : agent_.ready() ? 200 : 503;
  HttpResponse answer = JsonResponse(status, "{}");
  co_await exchange.Respond(std::move(answer));
}

GatewayState Gateway::State() const {
  GatewayState state;
  const Instant now = clock_.Now();
  state.under_way = counts_.under_way;
  state.waiting = counts_.waiting;
  state.retries = counts_.retries;
  state.retries_denied = retries_.denied();
  state.store_calls = agent_.store_calls();
  state.store_lost = agent_.store_lost();
  state.orders_sent = agent_.desk().orders_sent();
  state.model_loads = agent_.desk().loads_begun();
  state.resumed = counts_.resumed;
  for (const auto& [id, target] : board_.all()) {
    ++(target->leaving ? state.targets_leaving : state.targets_usable);
    state.targets_suspected += now < target->suspected_until ? 1 : 0;
  }
  const ConfigPtr config = agent_.config();
  state.config_version = config == nullptr ? 0 : config->version;
  state.members = agent_.Peers().size() + 1;
  state.quota_share = quotas_.share();
  state.ready = agent_.ready();
  state.leads = agent_.leads();
  state.following = agent_.following();
  return state;
}

boost::asio::awaitable<void> Gateway::ServeMetrics(HttpExchange& exchange) {
  HttpResponse answer;
  if (exchange.request().Path() != "/metrics") {
    answer.status = 404;
  } else {
    answer.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    answer.body = metrics_.Text(State());
  }
  co_await exchange.Respond(std::move(answer));
}

boost::asio::awaitable<void> Gateway::ServeDirectory(HttpExchange& exchange) {
  if (!platform::IsDirectoryRequest(exchange.request())) {
    HttpResponse unknown = JsonResponse(404, "{}");
    co_await exchange.Respond(std::move(unknown));
    co_return;
  }
  const std::vector<Endpoint> addresses = agent_.EntryAddresses();
  HttpResponse answer =
      addresses.empty()
          ? JsonResponse(503, "{}")
          : platform::DirectoryResponse(
                addresses, std::min(kDirectoryKeep, settings_.directory_time));
  co_await exchange.Respond(std::move(answer));
}

}  // namespace jackdaw::serving
