#include "fleet.h"

#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <iomanip>
#include <stdexcept>

#include "platform/row_codec.h"
#include "platform/standin/platform_standin.h"
#include "platform/tables.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace platform = jackdaw::serving::platform;

using jackdaw::HttpRequest;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Ports of an instance, as in the example of the deploy page.
constexpr int kFrontend = 8221;
constexpr int kReady = 8224;
constexpr int kDirectory = 8220;
constexpr int kPeer = 7600;
constexpr int kMetrics = 9464;
constexpr int kStorePort = 8225;
constexpr int kStorePathPort = 8226;
constexpr int kEnginePort = 8300;

// Deadline of a client's request.
constexpr jackdaw::Micros kClientDeadline = 8s;

jackdaw::Endpoint At(const std::string& ip, int port) {
  return {asio::ip::make_address(ip), static_cast<std::uint16_t>(port)};
}

std::string Text(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

Fleet::Fleet(asio::io_context& context,
             std::string work,
             const std::string& record)
    : context_(context),
      work_(std::move(work)),
      record_(record, std::ios::trunc),
      client_(context, clock_, 64),
      started_ms_(jackdaw::ToMillis(clock_.Now())),
      net_("127." + std::to_string(64 + getpid() / 256 % 128) + "." +
           std::to_string(getpid() % 256)) {
  ::mkdir(work_.c_str(), 0755);
}

Fleet::~Fleet() = default;

void Fleet::Note(std::string_view text) {
  record_ << std::fixed << std::setprecision(3)
          << static_cast<double>(NowMs() - started_ms_) / 1000 << " " << text
          << std::endl;
}

Task Fleet::Pause(jackdaw::Micros span) {
  asio::steady_timer timer(context_, span);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Task Fleet::StartStore() {
  store_ = At(net_ + ".250", kStorePort);
  store_process_ = std::make_unique<Process>(
      std::vector<std::string>{"target/jackdaw-standin", "platform", "--listen",
                               jackdaw::ToText(store_)},
      work_ + "/store.log");
  for (int i = 0; i < 100; ++i) {
    HttpRequest request{"GET", "/rows-get?table=op&part=", {}, {}};
    const auto answer = co_await client_.Fetch(store_, std::move(request),
                                               clock_.Now() + 500ms);
    if (answer && answer.value().status == 200) {
      co_return;
    }
    co_await Pause(50ms);
  }
  throw std::runtime_error("the store did not start");
}

Task Fleet::Configure(std::string document) {
  platform::RowTransaction write;
  write.puts.push_back({{std::string(platform::kConfigTable), "",
                         std::string(platform::kConfigKey)},
                        std::move(document)});
  HttpRequest request{"POST",
                      std::string(platform::kOperatorWritePath),
                      {},
                      platform::EncodeTransaction(write)};
  const auto answer =
      co_await client_.Fetch(store_, std::move(request), clock_.Now() + 2s);
  if (!answer || answer.value().status != 200) {
    throw std::runtime_error("the configuration was not written");
  }
}

Instance& Fleet::Add(std::string name, std::string zone) {
  auto instance = std::make_unique<Instance>();
  instance->name = std::move(name);
  instance->zone = std::move(zone);
  instance->ip = net_ + "." + std::to_string(instances_.size() + 1);
  instance->store_path = std::make_unique<StorePath>(
      context_, At(instance->ip, kStorePathPort), store_);
  instances_.push_back(std::move(instance));
  return *instances_.back();
}

// The fields of the deploy template, filled in for a small deployment.
std::string Fleet::SettingsOf(const Instance& instance) const {
  json::object regions;
  for (const auto& each : instances_) {
    regions[each->zone] = "region-" + each->zone.substr(0, 1);
  }
  json::object settings{
      {"name", instance.name},
      {"failure_domain", instance.zone},
      {"region", regions[instance.zone]},
      {"regions", regions},
      {"entry", Text(instance.ip, kFrontend)},
      {"ready", Text(instance.ip, kReady)},
      {"directory", Text(instance.ip, kDirectory)},
      {"peer", Text(instance.ip, kPeer)},
      {"store", Text(instance.ip, kStorePathPort)},
      {"metrics", Text(instance.ip, kMetrics)},
      {"stop_ms", 8000},
      {"lease_ms", 3000},
      {"directory_ms", 5000},
      {"retry_ratio", 0.2},
      {"retry_extra", 52},
      {"retry_window_ms", 10000},
      {"quota_overshoot", 0.1},
      {"quota_slack", 11000},
      {"cold_overshoot", 1},
      {"cold_slack", 0},
      {"link_mbps", 1000.0},
      {"contracts",
       {"base", "drain", "config", "cost", "retry", "recover", "fleet",
        "stream", "engine", "tenants", "quota", "platform"}},
      {"domain_preference", {{"stay_share", 0.3}, {"cost_ms", 12}}},
      {"memory_mb", 260},
      {"max_descriptors", 4200}};
  return json::serialize(settings);
}

void Fleet::Start(Instance& instance) {
  const std::string settings = work_ + "/" + instance.name + ".json";
  std::ofstream(settings) << SettingsOf(instance);
  instance.process = std::make_unique<Process>(
      std::vector<std::string>{"target/jackdawd", "--settings", settings},
      work_ + "/" + instance.name + ".log");
}

asio::awaitable<bool> Fleet::IsReady(const Instance& instance) {
  HttpRequest request{"GET", "/readyz", {}, {}};
  const auto answer = co_await client_.Fetch(
      At(instance.ip, kReady), std::move(request), clock_.Now() + 500ms);
  co_return answer&& answer.value().status == 200;
}

Task Fleet::AwaitReady(const Instance& instance) {
  for (int i = 0; i < 200; ++i) {
    if (co_await IsReady(instance)) {
      Note("ready " + instance.name);
      co_return;
    }
    co_await Pause(50ms);
  }
  throw std::runtime_error(instance.name + " did not become ready");
}

Engine& Fleet::AddEngine(Engine::Shape shape) {
  shape.store = store_;
  auto engine = std::make_unique<Engine>(context_, std::move(shape));
  engine->Start(
      At(net_ + ".251", kEnginePort + static_cast<int>(engines_.size())));
  engines_.push_back(std::move(engine));
  return *engines_.back();
}

Task Fleet::Send(const Instance& instance,
                 std::string tenant,
                 std::string key,
                 std::string path,
                 std::string model,
                 std::int64_t tokens_in,
                 std::int64_t tokens_out) {
  Sent sent;
  sent.at_ms = NowMs();
  sent.attempt = "attempt-" + std::to_string(++attempts_);
  sent.instance = instance.name;
  sent.tenant = std::move(tenant);
  sent.tokens = tokens_in + tokens_out;
  HttpRequest request{"POST",
                      std::move(path),
                      {{"Host", "app.example"},
                       {"X-Attempt-Id", sent.attempt},
                       {"X-Deadline-Ms", std::to_string(kClientDeadline / 1ms)},
                       {"Authorization", "Token " + key},
                       {"X-Token-Count", std::to_string(tokens_in) + "," +
                                             std::to_string(tokens_out)}},
                      "body of " + sent.attempt};
  if (!model.empty()) {
    request.headers.push_back({"X-Model", model});
  }
  const auto answer =
      co_await client_.Fetch(At(instance.ip, kFrontend), std::move(request),
                             clock_.Now() + kClientDeadline);
  sent.status = answer ? answer.value().status : 0;
  sent.ended_ms = NowMs();
  sent_.push_back(std::move(sent));
}

asio::awaitable<std::string> Fleet::ReadRow(std::string key) {
  HttpRequest request{"GET",
                      "/rows-get?table=" + std::string(platform::kFleetTable) +
                          "&part=&from=" + key + "&to=" + key + "~",
                      {},
                      {}};
  const auto answer =
      co_await client_.Fetch(store_, std::move(request), clock_.Now() + 2s);
  if (!answer) {
    co_return "";
  }
  const auto rows = platform::DecodeRowSet(answer.value().body);
  if (rows) {
    for (const auto& row : rows.value().rows) {
      if (row.at.key == key) {
        co_return row.value;
      }
    }
  }
  co_return "";
}

bool Fleet::AllLive() {
  for (const auto& instance : instances_) {
    if (instance->process == nullptr || !instance->process->Lives()) {
      return false;
    }
  }
  return store_process_->Lives();
}

}  // namespace review
