#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "engine.h"
#include "http/client.h"
#include "process.h"
#include "store_path.h"

namespace review {

using Task = boost::asio::awaitable<void>;

/// An instance of the system, a process of its own.
struct Instance {
  std::string name;
  std::string zone;
  /// Loopback address of all its ports.
  std::string ip;
  std::unique_ptr<StorePath> store_path;
  std::unique_ptr<Process> process;
};

/// One request of a client.
struct Sent {
  std::int64_t at_ms = 0;
  std::int64_t ended_ms = 0;
  std::string attempt;
  std::string instance;
  std::string tenant;
  std::int64_t tokens = 0;
  /// 0 if there was no complete answer.
  int status = 0;
};

/// A small deployment on loopback addresses: the store's stand-in, engines, and
/// instances started with the command of the deploy file.
class Fleet {
 public:
  /// @param work folder for settings and logs
  /// @param record file that takes what happened
  Fleet(boost::asio::io_context& context,
        std::string work,
        const std::string& record);
  ~Fleet();

  /// Starts the store.
  Task StartStore();
  /// Writes the configuration as the operator does.
  Task Configure(std::string document);
  /// Adds an instance that is not started yet.
  Instance& Add(std::string name, std::string zone);
  /// Starts, or starts again, the process of an instance.
  void Start(Instance& instance);
  Task AwaitReady(const Instance& instance);
  Engine& AddEngine(Engine::Shape shape);

  /// Sends a request and records it.
  Task Send(const Instance& instance,
            std::string tenant,
            std::string key,
            std::string path,
            std::string model,
            std::int64_t tokens_in,
            std::int64_t tokens_out);
  /// Value of a row of the fleet's table, empty if there is none.
  boost::asio::awaitable<std::string> ReadRow(std::string key);

  Task Pause(jackdaw::Micros span);
  std::int64_t NowMs() const { return jackdaw::ToMillis(clock_.Now()); }
  /// Writes a line with the time since the start of the case.
  void Note(std::string_view text);
  std::vector<std::unique_ptr<Instance>>& instances() { return instances_; }
  std::vector<std::unique_ptr<Engine>>& engines() { return engines_; }
  const std::vector<Sent>& sent() const { return sent_; }
  /// Whether each started process that should run does so.
  bool AllLive();

 private:
  boost::asio::awaitable<bool> IsReady(const Instance& instance);
  std::string SettingsOf(const Instance& instance) const;

  boost::asio::io_context& context_;
  std::string work_;
  std::ofstream record_;
  jackdaw::MonotonicClock clock_;
  jackdaw::HttpClient client_;
  std::int64_t started_ms_;
  /// First two numbers of all addresses of this run.
  std::string net_;
  std::unique_ptr<Process> store_process_;
  jackdaw::Endpoint store_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<Sent> sent_;
  std::int64_t attempts_ = 0;
};

}  // namespace review
