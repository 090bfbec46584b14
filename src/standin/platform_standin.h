#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "http/server.h"
#include "platform/memory_table.h"
#include "standin/weight_store.h"

namespace jackdaw {

/// Faults of the platform stand-in, switched on over HTTP.
struct PlatformFaults {
  /// Added to each answer, in milliseconds.
  std::int64_t delay_ms = 0;
  /// Writes still to take effect whose answer is then lost.
  std::int64_t lose_answers = 0;
  /// Every request fails while set.
  bool outage = false;
  /// Every request on the second address fails while set.
  bool cut = false;
};

/// Stand-in for the platform: table service, object store and instance list.
class PlatformStandin {
 public:
  explicit PlatformStandin(boost::asio::io_context& context);

  /// @returns the bound endpoint, or kAddressInUse
  Result<Endpoint> Listen(const Endpoint& endpoint);

  /// Binds a second address, on which every request fails while the fault
  /// `cut` is set: the platform as seen by instances that are cut off.
  Result<Endpoint> ListenCuttable(const Endpoint& endpoint);

  MemoryTable& table() { return table_; }

 private:
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleCuttable(HttpExchange& exchange);
  HttpResponse Answer(const HttpRequest& request);
  HttpResponse AnswerTable(const HttpRequest& request);
  HttpResponse AnswerObjects(const HttpRequest& request);
  HttpResponse AnswerInstances(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> FetchWeights(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);

  boost::asio::io_context& context_;
  HttpServer server_;
  HttpServer cuttable_server_;
  MemoryTable table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, InstanceEntry, std::less<>> instances_;
  PlatformFaults faults_;
  WeightStore weights_{WeightStoreShape{}};
};

}  // namespace jackdaw
