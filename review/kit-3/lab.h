#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "http/client.h"
#include "process.h"

namespace review {

using Task = boost::asio::awaitable<void>;

/// An instance of the system, a process of its own.
struct Instance {
  std::string name;
  std::string zone;
  std::string ip;
  /// Ports by their names in the settings.
  std::map<std::string, int> ports;
  std::unique_ptr<Process> process;
};

/// A small deployment on loopback addresses: the project's stand-in of the
/// store, and instances that are started with the command of the deploy file.
class Lab {
 public:
  /// @param work folder for settings and logs
  /// @param record file that takes what happened
  Lab(boost::asio::io_context& context,
      std::string work,
      const std::string& record);

  boost::asio::io_context& context() { return context_; }
  jackdaw::HttpClient& http() { return http_; }
  /// Returns a loopback address of this run alone.
  std::string Address(int number) const;

  Task StartStore();
  /// Writes rows as the operator and the engines do.
  /// @returns whether the store has acknowledged them
  boost::asio::awaitable<bool> Write(std::string table,
                                     std::string key,
                                     std::string value);
  Task Configure(std::string document);
  /// Value of a row of the system's table, empty if there is none.
  boost::asio::awaitable<std::string> ReadRow(std::string key);
  Instance& Start(const std::string& name, const std::string& zone, int number);
  /// Kills the process of an instance and starts it again after a time.
  Task KillAndRestart(Instance& instance, jackdaw::Micros down);
  Task AwaitReady(const Instance& instance);
  /// Ends all processes.
  void EndAll();
  /// Whether all instances run.
  bool AllRun();
  /// Text that the instances have logged.
  std::string LogOf(const Instance& instance) const;

  Task Pause(jackdaw::Micros span);
  /// Milliseconds since the start of the case.
  std::int64_t Ms() const;
  /// Unix time in milliseconds.
  std::int64_t UnixMs() const { return jackdaw::ToMillis(clock_.Now()); }
  /// Writes a line with the time to the record.
  void Note(std::string_view text);

 private:
  void StartStoreProcess(const std::string& address);
  void StartProcess(Instance& instance);

  boost::asio::io_context& context_;
  std::string work_;
  std::ofstream record_;
  jackdaw::MonotonicClock clock_;
  jackdaw::HttpClient http_;
  std::int64_t started_ms_;
  jackdaw::Endpoint store_;
  std::unique_ptr<Process> store_process_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Plays a case and returns its exit code. Arguments: folder for settings and
/// logs, record file. With TROUBLE=0 in the environment the disruption is left
/// out.
/// @param play sets its last parameter to kHeld or kBroken
int RunCase(int argc,
            char** argv,
            const std::function<Task(Lab&, bool trouble, int& verdict)>& play);

}  // namespace review
