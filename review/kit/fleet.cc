#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {
namespace {

// The program of the deploy file, run from the root of the repository.
constexpr const char* kProgram = "target/jackdawd";
constexpr std::chrono::milliseconds kControlTime{500};

}  // namespace

Instance::Instance(std::string name,
                   std::string zone,
                   std::string ip,
                   const Address& store,
                   const std::string& folder,
                   const Bounds& bounds)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      settings_path_(folder + "/" + name_ + ".json"),
      log_path_(folder + "/" + name_ + ".log"),
      entry_(FreeAddress(ip)),
      ready_(FreeAddress(ip)),
      directory_(FreeAddress(ip)),
      peer_(FreeAddress(ip)),
      metrics_(FreeAddress(ip)) {
  std::ofstream settings(settings_path_);
  settings << "{\"name\": \"" << name_ << "\", \"failure_domain\": \"" << zone_
           << "\",\n \"entry\": \"" << entry_.Text() << "\", \"ready\": \""
           << ready_.Text() << "\", \"directory\": \"" << directory_.Text()
           << "\",\n \"peer\": \"" << peer_.Text() << "\", \"store\": \""
           << store.Text() << "\", \"metrics\": \"" << metrics_.Text()
           << "\",\n \"stop_ms\": " << bounds.grace_s * 1000
           << ", \"lease_ms\": " << bounds.lease_ms
           << ", \"directory_ms\": " << bounds.ttl_max_s * 1000
           << ",\n \"retry_ratio\": " << bounds.retry_budget_ratio
           << ", \"retry_extra\": " << bounds.retry_budget_extra
           << ", \"retry_window_ms\": " << bounds.budget_window_s * 1000
           << ",\n \"quota_overshoot\": " << bounds.quota_overshoot
           << ", \"quota_slack\": " << bounds.quota_slack << "}\n";
}

Instance::Instance(Instance&& other) noexcept
    : name_(std::move(other.name_)),
      zone_(std::move(other.zone_)),
      settings_path_(std::move(other.settings_path_)),
      log_path_(std::move(other.log_path_)),
      entry_(other.entry_),
      ready_(other.ready_),
      directory_(other.directory_),
      peer_(other.peer_),
      metrics_(other.metrics_),
      pid_(std::exchange(other.pid_, -1)) {}

Instance::~Instance() {
  Kill();
}

void Instance::Start() {
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // The case may end early.
    const int log =
        ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(kProgram, kProgram, "--settings", settings_path_.c_str(), nullptr);
    ::_exit(127);
  }
}

void Instance::Signal(int signal) const {
  if (pid_ > 0) {
    ::kill(pid_, signal);
  }
}

void Instance::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Instance::HasEnded() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ < 0;
}

std::optional<Response> Instance::Get(const Address& address,
                                      const std::string& target) const {
  const auto connection = Connection::Open(address, kControlTime);
  if (connection == nullptr) {
    return std::nullopt;
  }
  connection->SetReadLimit(kControlTime);
  connection->Write(Encode(Request{"GET", target, {{"Host", name_}}, ""}));
  return connection->ReadResponse();
}

bool Instance::Ready() const {
  const auto response = Get(ready_, "/readyz");
  return response && response->status == 200;
}

long Instance::MemoryKb() const {
  constexpr std::string_view kField = "RssAnon:";
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) {
      return std::atol(line.c_str() + kField.size());
    }
  }
  return 0;
}

double Instance::Metric(const std::string& name) const {
  const auto response = Get(metrics_, "/metrics");
  std::istringstream lines(response ? response->body : "");
  for (std::string line; std::getline(lines, line);) {
    if (line.find("\"" + name + "\"") != std::string::npos &&
        line.front() != '#') {
      return std::atof(line.substr(line.rfind(' ') + 1).c_str());
    }
  }
  return -1;
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  path_ = ::mkdtemp(pattern.data()) == nullptr ? "" : pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(path_, ignored);
  }
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void SleepUntilMs(const Record& record, double ms) {
  const double left = ms - record.NowMs();
  if (left > 0) {
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(left));
  }
}

}  // namespace review
