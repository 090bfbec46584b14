#include "gateway/gateway.h"

#include <sys/resource.h>

#include <algorithm>
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

// Longest time for which callers may cache the directory's response. It is
// short so that callers soon stop using an instance that shuts down.
constexpr Micros kDirectoryMaxAge = 2s;
// Time for which an instance that shuts down still accepts requests. By then
// callers have requested the directory again.
constexpr Micros kDrainAcceptTime = 2500ms;
// Part of the shutdown time that is reserved for the final responses and for
// leaving the fleet.
constexpr Micros kStopReserve = 700ms;
// Interval at which a shutdown checks whether all requests have ended.
constexpr Micros kDrainPollInterval = 100ms;
// After ending the requests, a shutdown checks at most this often, and at this
// interval, whether their responses are written.
constexpr int kMaxFinalPolls = 10;
constexpr Micros kFinalPollInterval = 20ms;
// Response after kDrainAcceptTime: the caller may try another instance at once.
constexpr std::string_view kTryOtherInstanceResponse =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

// Limits of the server for other instances. Each of them keeps a connection to
// the leader. The total bounds incomplete requests; those of instances arrive
// within milliseconds.
HttpLimits PeerLimits(const GatewaySettings& settings) {
  HttpLimits limits;
  limits.connections = static_cast<std::uint32_t>(
      std::min<std::int64_t>(settings.max_descriptors / 8, 512));
  limits.request_ms = 10'000;
  limits.write_ms = 10'000;
  limits.total_bytes = 4UL * 1024 * 1024;
  limits.socket_bytes = 8 * 1024;
  limits.backlog = 256;
  return limits;
}

// Limits of the servers for the directory, readiness and metrics, whose
// requests have no body.
HttpLimits ControlLimits(const GatewaySettings& settings) {
  HttpLimits limits = PeerLimits(settings);
  limits.connections = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(settings.max_descriptors / 64, 16, 64));
  limits.body_bytes = 4096;
  limits.total_bytes = 1024UL * 1024;
  limits.socket_bytes = 4 * 1024;
  limits.backlog = 64;
  return limits;
}

// Returns the descriptors that the process may have open.
std::int64_t UsableDescriptors(std::int64_t setting) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return setting;
  }
  return std::min(setting, static_cast<std::int64_t>(limit.rlim_cur));
}

}  // namespace

Gateway::Gateway(const GatewaySettings& settings, std::string settings_path)
    : settings_(settings),
      settings_path_(std::move(settings_path)),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      timers_(context_, clock_),
      targets_(settings.failure_domain,
               settings.regions,
               settings.domain_preference,
               settings.forecast_load),
      target_connections_(context_, clock_),
      quotas_(settings.quotas),
      retries_(settings.retries, clock_.Now()),
      agent_(context_,
             settings_,
             clock_,
             boot_clock_,
             targets_,
             target_connections_,
             quotas_,
             retries_,
             crashes_,
             demand_),
      peers_(context_,
             clock_,
             agent_,
             targets_,
             quotas_,
             boot_clock_,
             settings_),
      deps_{clock_,    timers_,  targets_, target_connections_,
            retries_,  crashes_, demand_,  missing_models_,
            counters_, metrics_, peers_},
      listener_(context_,
                *this,
                timers_,
                clock_,
                LimitsOf(settings.memory_mb,
                         UsableDescriptors(settings.max_descriptors))),
      ready_server_(
          context_,
          ControlLimits(settings),
          [this](HttpExchange& exchange) { return ServeReady(exchange); }),
      directory_server_(
          context_,
          ControlLimits(settings),
          [this](HttpExchange& exchange) { return ServeDirectory(exchange); }),
      peer_server_(
          context_,
          PeerLimits(settings),
          [this](HttpExchange& exchange) { return peers_.Serve(exchange); }),
      metrics_server_(
          context_,
          ControlLimits(settings),
          [this](HttpExchange& exchange) { return ServeMetrics(exchange); }) {}

// Pending operations refer to the members, so they end first.
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
      {{"requests", std::to_string(counters_.started)}});
  return success();
}

void Gateway::Stop() {
  boost::asio::post(context_, [this] { OnStop(); });
}

void Gateway::StopAbruptly() {
  boost::asio::post(context_, [this] { context_.stop(); });
}

void Gateway::AwaitSignal() {
  signals_.async_wait([this](const auto& failure, int signal) {
    if (failure) {
      return;
    }
    if (signal == SIGHUP) {
      CheckSettingsFile();
    } else {
      OnStop();
    }
    AwaitSignal();
  });
}

// Checks the settings file on SIGHUP and logs an error if it is invalid.
// Changed settings take effect at the next start.
void Gateway::CheckSettingsFile() {
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
  if (stop_requested_at_ != Instant{}) {
    return;
  }
  stop_requested_at_ = clock_.Now();
  Log(LogLevel::kInfo, "stop_asked",
      {{"under_way", std::to_string(counters_.in_progress)}});
  agent_.BeginDrain();
  boost::asio::co_spawn(context_, RunDrain(), boost::asio::detached);
}

boost::asio::awaitable<void> Gateway::RunDrain() {
  const Instant end_at =
      stop_requested_at_ + settings_.stop_time - kStopReserve;
  boost::asio::steady_timer timer(context_);
  for (;;) {
    const Instant now = clock_.Now();
    const bool idle = counters_.in_progress == 0 && listener_.busy() == 0 &&
                      now > stop_requested_at_ + kDrainAcceptTime;
    if (idle || now >= end_at) {
      break;
    }
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  listener_.StopAccepting();
  listener_.EndTasks();
  for (int i = 0; i < kMaxFinalPolls && listener_.busy() > 0; ++i) {
    timer.expires_after(kFinalPollInterval);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  co_await agent_.Leave();
  Log(LogLevel::kInfo, "drained",
      {{"under_way", std::to_string(counters_.in_progress)}});
  context_.stop();
}

std::size_t Gateway::other_descriptors() const {
  return target_connections_.open() + ready_server_.connections() +
         directory_server_.connections() + peer_server_.connections() +
         metrics_server_.connections();
}

CallerLimits Gateway::limits() const {
  const ConfigPtr config = agent_.config();
  return config == nullptr ? CallerLimits{} : config->limits;
}

std::shared_ptr<CallerTask> Gateway::StartTask(
    std::shared_ptr<CallerConnection> connection,
    CallerRequest request,
    Instant started_at) {
  if (stop_requested_at_ != Instant{} &&
      clock_.Now() > stop_requested_at_ + kDrainAcceptTime) {
    connection->Write(std::string(kTryOtherInstanceResponse));
    connection->EndResponse(false);
    return nullptr;
  }
  auto exchange =
      std::make_shared<Exchange>(std::move(connection), std::move(request),
                                 agent_.config(), deps_, started_at, closing());
  exchange->Start();
  return exchange;
}

boost::asio::awaitable<void> Gateway::ServeReady(HttpExchange& exchange) {
  const bool is_ready_call = platform::IsReadinessRequest(exchange.request());
  const int status = !is_ready_call ? 404 : agent_.ready() ? 200 : 503;
  HttpResponse response = JsonResponse(status, "{}");
  co_await exchange.Respond(std::move(response));
}

boost::asio::awaitable<void> Gateway::ServeDirectory(HttpExchange& exchange) {
  if (!platform::IsDirectoryRequest(exchange.request())) {
    HttpResponse unknown = JsonResponse(404, "{}");
    co_await exchange.Respond(std::move(unknown));
    co_return;
  }
  const std::vector<Endpoint> addresses =
      agent_.EntryAddresses(platform::DecodeCaller(exchange.request()));
  HttpResponse response =
      addresses.empty() ? JsonResponse(503, "{}")
                        : platform::DirectoryResponse(
                              addresses, std::min(kDirectoryMaxAge,
                                                  settings_.directory_time));
  co_await exchange.Respond(std::move(response));
}

}  // namespace jackdaw::serving
