#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/server.h"
#include "routing/target_report.h"
#include "standin/engine_memory.h"

namespace jackdaw {

/// Shape of an engine or plain-service stand-in.
struct EngineShape {
  std::string name;
  bool plain = false;
  std::int64_t memory_mb = 80'000;
  std::vector<std::string> models;
  /// Whether orders with an old fencing number are refused.
  bool checks_fence = true;
  /// Time of a load, in milliseconds, where no weight store is given.
  std::int64_t load_ms = 200;
  std::optional<Endpoint> weights;
  /// Time to the first token and between two tokens, in microseconds.
  std::int64_t first_token_us = 20'000;
  std::int64_t token_us = 10'000;
  /// Differs after each start of the stand-in.
  std::int64_t incarnation = 1;
  /// What a crash does; ends the process where not set. Once it returns, the
  /// stand-in drops the connection and reports a new incarnation.
  std::function<void()> crash = {};
};

/// Faults of the stand-in, switched on over HTTP.
struct EngineFaults {
  /// Added before each answer, in milliseconds.
  std::int64_t delay_ms = 0;
  /// Requests still to be accepted and never answered.
  std::int64_t silent = 0;
  /// Streams still to be cut off after `cut_after_tokens`.
  std::int64_t cut_streams = 0;
  std::int64_t cut_after_tokens = 3;
  /// Requests whose body contains this text end the process.
  std::string crash_on;
  bool leaving = false;
};

/// Stand-in for a model engine, or with `plain` for a service whose calls may
/// not be repeated. Counts the runs of each call id and ends the process
/// loudly when a request carries a caller's key.
class EngineStandin {
 public:
  EngineStandin(boost::asio::io_context& context, EngineShape shape);

  /// @returns the bound endpoint, or kAddressInUse
  Result<Endpoint> Listen(const Endpoint& endpoint);

  /// Times that each call id ran.
  const std::map<std::string, std::int64_t>& runs() const { return runs_; }

 private:
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<void> Generate(HttpExchange& exchange);
  boost::asio::awaitable<void> StreamTokens(HttpExchange& exchange,
                                            std::string_view model,
                                            std::string_view stem,
                                            std::int64_t tokens);
  boost::asio::awaitable<void> Wait(std::int64_t micros);
  HttpResponse RunCall(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse ListRuns() const;
  TargetReport Report() const;
  void RejectLeakedKey(const HttpRequest& request) const;

  boost::asio::io_context& context_;
  EngineShape shape_;
  HttpServer server_;
  EngineFaults faults_;
  EngineMemory memory_;
  std::int64_t running_ = 0;
  std::map<std::string, std::int64_t> runs_;
};

/// Text that the stand-in generates as token number `index` for a prompt; load
/// tools use it to check that an answer is whole and belongs to its request.
/// @param stem Sha256Hex of the prompt, first 8 digits
std::string StandinToken(std::string_view stem, std::int64_t index);

}  // namespace jackdaw
