#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <map>
#include <stdexcept>
#include <string>

#include "fleet.h"

namespace review {

/// A configuration with one plain service, whose requests may run once only.
inline constexpr const char* kPlainConfig = R"({"version": 1,
 "routes": [{"name": "book", "hostname": "app.example", "prefix": "/book/",
   "type": "unsafe", "max-attempts": 1, "timeout-ms": 1200,
   "target-latency-ms": 150, "priority": 2, "service": "app"}],
 "services": [{"name": "app", "health-path": "/healthz",
   "max-connections": 400}],
 "tenants": [{"name": "school", "api-keys": ["school-key"]}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}})";

/// Time for which a request runs.
inline constexpr jackdaw::Micros kWorkTime{30'000};
/// Time for which an engine goes on serving after the store has acknowledged
/// that it leaves: `drain-ms` and a little longer.
inline constexpr jackdaw::Micros kServesOn{2'150'000};

/// Lets an engine that leaves exit.
inline Task ExitLater(Fleet& fleet, Engine& engine) {
  co_await fleet.Pause(kServesOn);
  engine.Exit();
  co_await engine.Withdraw();
}

/// Sends requests at an even pace to one instance.
/// @param stop ends it when set
inline Task AskEvenly(Fleet& fleet,
                      const Instance& instance,
                      jackdaw::Micros interval,
                      const bool& stop) {
  constexpr std::int64_t kTokens = 200;
  while (!stop) {
    boost::asio::co_spawn(
        co_await boost::asio::this_coro::executor,
        fleet.Send(instance, "school", "school-key", "/book/x", "", kTokens, 0),
        boost::asio::detached);
    co_await fleet.Pause(interval);
  }
}

/// Starts one more engine of that service.
inline void AddPlainEngine(Fleet& fleet) {
  const std::size_t number = fleet.engines().size() + 1;
  Engine::Shape shape;
  shape.id = "e-" + std::to_string(number);
  shape.service = "app";
  shape.first_time = kWorkTime;
  shape.zone = "a-" + std::to_string(number % 3 + 1);
  fleet.AddEngine(shape);
}

/// Starts a fleet of six instances before engines of that service.
inline Task StartPlainFleet(Fleet& fleet, int engines) {
  co_await fleet.StartStore();
  co_await fleet.Configure(kPlainConfig);
  for (int i = 1; i <= engines; ++i) {
    AddPlainEngine(fleet);
  }
  for (int i = 1; i <= 6; ++i) {
    fleet.Add("n" + std::to_string(i), "a-" + std::to_string(i % 3 + 1));
  }
  for (const auto& instance : fleet.instances()) {
    fleet.Start(*instance);
  }
  for (const auto& instance : fleet.instances()) {
    co_await fleet.AwaitReady(*instance);
  }
}

/// Returns the instance that holds the lease.
inline boost::asio::awaitable<Instance*> Leader(Fleet& fleet) {
  const std::string text = co_await fleet.ReadRow("leader");
  const auto row = boost::json::parse(text);
  const std::string holder(row.at("holder").as_string());
  for (const auto& instance : fleet.instances()) {
    if (instance->name == holder) {
      co_return instance.get();
    }
  }
  throw std::runtime_error("no instance holds the lease");
}

/// Writes how many answers of each status there were.
inline void NoteAnswers(Fleet& fleet) {
  std::map<int, int> answers;
  for (const Sent& sent : fleet.sent()) {
    ++answers[sent.status];
  }
  for (const auto& [status, count] : answers) {
    fleet.Note("answers " + std::to_string(status) + ": " +
               std::to_string(count));
  }
}

/// Writes which requests of instances in touch were cut by the exit of an
/// engine, and what their clients got.
/// @param excused by engine, an instance that is not in touch at its exit
inline void NoteCut(Fleet& fleet,
                    const std::map<std::string, std::string>& excused) {
  std::map<std::string, const Sent*> sent_of;
  for (const Sent& sent : fleet.sent()) {
    sent_of[sent.attempt] = &sent;
  }
  std::size_t count = 0;
  for (const auto& engine : fleet.engines()) {
    for (const std::string& attempt : engine->cut()) {
      const Sent& sent = *sent_of.at(attempt);
      const auto not_in_touch = excused.find(engine->id());
      if (not_in_touch != excused.end() &&
          not_in_touch->second == sent.instance) {
        continue;
      }
      fleet.Note("cut: " + attempt + " at " + engine->id() + " from " +
                 sent.instance + ", its client got " +
                 std::to_string(sent.status));
      ++count;
    }
  }
  fleet.Note("requests cut by the exit of an engine: " + std::to_string(count));
}

/// Returns which instance got each attempt.
inline std::map<std::string, std::string> InstancesOfAttempts(
    const Fleet& fleet) {
  std::map<std::string, std::string> instances;
  for (const Sent& sent : fleet.sent()) {
    instances[sent.attempt] = sent.instance;
  }
  return instances;
}

}  // namespace review
