#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/// Bounds of a small deployment, as its settings name them.
struct Bounds {
  int grace_s = 8;
  int lease_ms = 3000;
  int ttl_max_s = 5;
  double retry_budget_ratio = 0.2;
  int retry_budget_extra = 52;
  int budget_window_s = 10;
  double quota_overshoot = 0.1;
  int quota_slack = 11000;
  int quota_window_s = 8;
  int recover_s = 12;
};

/// One process of the program, started as the deploy file says.
class Instance {
 public:
  /// @param folder temporary folder for settings and logs
  Instance(std::string name,
           std::string zone,
           std::string ip,
           const Address& store,
           const std::string& folder,
           const Bounds& bounds);
  /// Ends the process.
  ~Instance();
  Instance(Instance&& other) noexcept;
  Instance& operator=(Instance&&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// Whether the process has ended by itself.
  bool HasEnded();
  /// Whether the process says that it is ready.
  bool Ready() const;
  /// Returns the memory of the process in KB, without its files, or 0.
  long MemoryKb() const;
  /// Returns a value of the program's metrics, or -1.
  double Metric(const std::string& name) const;

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const Address& entry() const { return entry_; }

 private:
  std::optional<Response> Get(const Address& address,
                              const std::string& target) const;

  std::string name_;
  std::string zone_;
  std::string settings_path_;
  std::string log_path_;
  Address entry_;
  Address ready_;
  Address directory_;
  Address peer_;
  Address metrics_;
  pid_t pid_ = -1;
};

/// A temporary folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Whether the case runs with its disruption (TROUBLE is not 0).
bool WithTrouble();

/// Waits until the condition holds. @returns false if it does not in time
template <typename Condition>
bool WaitFor(std::chrono::milliseconds limit, Condition condition) {
  const Instant end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

void SleepUntilMs(const Record& record, double ms);

}  // namespace review
