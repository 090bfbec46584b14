#include "lab.h"

#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "platform/row_codec.h"
#include "platform/tables.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace platform = jackdaw::serving::platform;
using namespace std::chrono_literals;

// Programs, from the root of the repository.
constexpr const char* kDaemon = "target/jackdawd";
constexpr const char* kStandin = "target/jackdaw-standin";

constexpr jackdaw::Micros kStoreTimeout = 2s;
constexpr jackdaw::Micros kStartTime = 20s;

// Returns a port that is free on the address.
int FreePort(asio::io_context& context, const std::string& ip) {
  asio::ip::tcp::acceptor probe(
      context, asio::ip::tcp::endpoint(asio::ip::make_address(ip), 0));
  return probe.local_endpoint().port();
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Lab::Lab(asio::io_context& context, std::string work, const std::string& record)
    : context_(context),
      work_(std::move(work)),
      record_(record),
      http_(context, clock_, 2),
      started_ms_(UnixMs()) {}

std::string Lab::Address(int number) const {
  const int pid = static_cast<int>(::getpid());
  return "127." + std::to_string(64 + pid / 256 % 128) + "." +
         std::to_string(pid % 256) + "." + std::to_string(number);
}

std::int64_t Lab::Ms() const {
  return UnixMs() - started_ms_;
}

void Lab::Note(std::string_view text) {
  record_ << Ms() << " ms  " << text << std::endl;
}

Task Lab::Pause(jackdaw::Micros span) {
  asio::steady_timer timer(context_, span);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void Lab::StartStoreProcess(const std::string& address) {
  store_process_ = std::make_unique<Process>(
      std::vector<std::string>{kStandin, "platform", "--listen", address},
      work_ + "/store.log");
}

Task Lab::StartStore() {
  const std::string ip = Address(1);
  const std::string address = ip + ":" + std::to_string(FreePort(context_, ip));
  store_ = jackdaw::ParseEndpoint(address).value();
  StartStoreProcess(address);
  const std::int64_t until = Ms() + kStartTime / 1ms;
  for (;;) {
    const bool written = co_await Write("probe", "probe", "{}");
    if (written) {
      co_return;
    }
    if (Ms() > until) {
      throw std::runtime_error("the store does not answer");
    }
    co_await Pause(50ms);
  }
}

asio::awaitable<bool> Lab::Write(std::string table,
                                 std::string key,
                                 std::string value) {
  platform::RowTransaction write;
  write.puts.push_back(
      {{std::move(table), "", std::move(key)}, std::move(value)});
  jackdaw::HttpRequest request{
      "POST", "/standin/rows-tx", {}, platform::EncodeTransaction(write)};
  const auto answer = co_await http_.Fetch(store_, std::move(request),
                                           clock_.Now() + kStoreTimeout);
  co_return answer&& answer.value().status == 200;
}

Task Lab::Configure(std::string document) {
  const bool written =
      co_await Write(std::string(platform::kConfigTable),
                     std::string(platform::kConfigKey), std::move(document));
  if (!written) {
    throw std::runtime_error("the configuration was not written");
  }
}

asio::awaitable<std::string> Lab::ReadRow(std::string key) {
  jackdaw::HttpRequest request{
      "GET",
      "/rows-get?table=" + std::string(platform::kFleetTable) + "&part=",
      {},
      ""};
  const auto answer = co_await http_.Fetch(store_, std::move(request),
                                           clock_.Now() + kStoreTimeout);
  if (answer) {
    const auto rows = platform::DecodeRowSet(answer.value().body);
    for (const auto& row : rows.value().rows) {
      if (row.at.key == key) {
        co_return row.value;
      }
    }
  }
  co_return std::string();
}

// The settings are those of deploy/settings.template for a small deployment.
Instance& Lab::Start(const std::string& name,
                     const std::string& zone,
                     int number) {
  instances_.push_back(std::make_unique<Instance>());
  Instance& instance = *instances_.back();
  instance.name = name;
  instance.zone = zone;
  instance.ip = Address(number);
  boost::json::object settings{
      {"name", name},           {"failure_domain", zone},
      {"region", "nordeste"},   {"store", jackdaw::ToText(store_)},
      {"stop_ms", 8000},        {"lease_ms", 3000},
      {"directory_ms", 5000},   {"retry_ratio", 0.2},
      {"retry_extra", 52},      {"retry_window_ms", 10000},
      {"quota_overshoot", 0.1}, {"quota_slack", 11000},
      {"link_mbps", 1000},      {"memory_mb", 260},
      {"max_descriptors", 4200}};
  for (const char* port : {"entry", "ready", "directory", "peer", "metrics"}) {
    instance.ports[port] = FreePort(context_, instance.ip);
    settings[port] = instance.ip + ":" + std::to_string(instance.ports[port]);
  }
  const std::string path = work_ + "/" + name + ".json";
  std::ofstream(path) << boost::json::serialize(settings) << std::endl;
  StartProcess(instance);
  return instance;
}

void Lab::StartProcess(Instance& instance) {
  instance.process = std::make_unique<Process>(
      std::vector<std::string>{kDaemon, "--settings",
                               work_ + "/" + instance.name + ".json"},
      work_ + "/" + instance.name + ".log");
}

Task Lab::KillAndRestart(Instance& instance, jackdaw::Micros down) {
  instance.process->Kill();
  co_await Pause(down);
  StartProcess(instance);
}

Task Lab::AwaitReady(const Instance& instance) {
  const auto address =
      jackdaw::ParseEndpoint(instance.ip + ":" +
                             std::to_string(instance.ports.at("ready")))
          .value();
  const std::int64_t until = Ms() + kStartTime / 1ms;
  for (;;) {
    jackdaw::HttpRequest request{"GET", "/readyz", {}, ""};
    const auto answer =
        co_await http_.Fetch(address, std::move(request), clock_.Now() + 1s);
    if (answer && answer.value().status == 200) {
      co_return;
    }
    if (Ms() > until) {
      throw std::runtime_error(instance.name + " does not get ready");
    }
    co_await Pause(50ms);
  }
}

void Lab::EndAll() {
  for (const auto& instance : instances_) {
    instance->process.reset();
  }
  store_process_.reset();
}

bool Lab::AllRun() {
  bool all = true;
  for (const auto& instance : instances_) {
    all = instance->process->Runs() && all;
  }
  return all;
}

std::string Lab::LogOf(const Instance& instance) const {
  return ReadAll(work_ + "/" + instance.name + ".log");
}

int RunCase(int argc,
            char** argv,
            const std::function<Task(Lab&, bool trouble, int& verdict)>& play) {
  if (argc != 3) {
    std::cerr << "usage: CASE WORK-FOLDER RECORD-FILE\n";
    return kCouldNotRun;
  }
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string_view(setting) != "0";
  int verdict = kCouldNotRun;
  try {
    asio::io_context context(1);
    Lab lab(context, argv[1], argv[2]);
    lab.Note(trouble ? "with the disruption" : "without the disruption");
    std::string failure;
    asio::co_spawn(context, play(lab, trouble, verdict),
                   [&](const std::exception_ptr& thrown) {
                     try {
                       if (thrown) {
                         std::rethrow_exception(thrown);
                       }
                     } catch (const std::exception& error) {
                       failure = error.what();
                       verdict = kCouldNotRun;
                     }
                     context.stop();
                   });
    context.run();
    if (failure.empty() && !lab.AllRun()) {
      failure = "an instance has ended by itself";
      verdict = kCouldNotRun;
    }
    lab.Note(failure.empty() ? "verdict " + std::to_string(verdict)
                             : "could not run: " + failure);
    lab.EndAll();
    // Coroutines that still wait refer to what would be destroyed before them.
    std::_Exit(verdict);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
  return verdict;
}

}  // namespace review
