#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "serving/target_registration.h"

namespace review {

/// One arrival of a request at an engine.
struct Arrival {
  std::int64_t at_ms = 0;
  std::string attempt;
  std::string tenant;
  /// The engine began to run the request. Otherwise it refused it.
  bool ran = false;
};

/// A sound engine as the pages describe it: registers itself in the store, runs
/// requests, and answers with its id and signature. It answers with a stream of
/// events to requests that name a model, else with one body.
class Engine {
 public:
  struct Shape {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> models;
    int slots = 64;
    /// Time to the first byte, and between two events.
    jackdaw::Micros first_time{5000};
    jackdaw::Micros gap{2000};
    jackdaw::Endpoint store;
  };

  Engine(boost::asio::io_context& context, Shape shape);

  /// Listens and starts to register.
  void Start(const jackdaw::Endpoint& address);
  /// Reports that the engine drains. It goes on serving.
  /// @returns time of the store's acknowledgement, 0 if there was none
  boost::asio::awaitable<std::int64_t> Drain();
  /// Removes the entry, without having reported that the engine drains. It goes
  /// on serving.
  /// @returns time of the store's acknowledgement, 0 if there was none
  boost::asio::awaitable<std::int64_t> Withdraw();
  /// Ends the engine: it takes no more connections and cuts those that it has,
  /// with the requests that run on them.
  void Exit();
  /// Attempts that were cut by the engine's exit.
  const std::vector<std::string>& cut() const { return cut_; }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  const std::string& id() const { return shape_.id; }

 private:
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<bool> WriteEntry();
  boost::asio::awaitable<std::int64_t> WriteLast();
  boost::asio::awaitable<void> Handle(jackdaw::HttpExchange& exchange);
  boost::asio::awaitable<void> Run(jackdaw::HttpExchange& exchange);
  boost::asio::awaitable<void> Stream(jackdaw::HttpExchange& exchange);
  std::vector<jackdaw::HttpHeader> Headers(
      const jackdaw::HttpRequest& request) const;
  boost::asio::awaitable<void> Pause(jackdaw::Micros span);
  bool Holds(std::string_view model) const;

  boost::asio::io_context& context_;
  Shape shape_;
  jackdaw::MonotonicClock clock_;
  jackdaw::HttpClient client_;
  jackdaw::HttpServer server_;
  jackdaw::serving::TargetRegistration entry_;
  std::vector<Arrival> arrivals_;
  int running_ = 0;
  bool exited_ = false;
  std::vector<std::string> cut_;
  /// A write of the entry is under way.
  bool writing_ = false;
  /// The entry was removed for good.
  bool withdrawn_ = false;
};

}  // namespace review
