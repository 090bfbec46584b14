#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/object_reader.h"
#include "http/client.h"
#include "http/message.h"
#include "orders/order.h"

namespace jackdaw {

/// Accelerator memory of an engine stand-in.
struct EngineMemoryShape {
  std::string name;
  std::int64_t memory_mb = 80'000;
  bool checks_fence = true;
  std::vector<std::string> models;
  /// Memory of each model that is resident from the start.
  std::int64_t model_mb = 1000;
  /// Time of a load, in milliseconds, where no weight store is given.
  std::int64_t load_ms = 200;
  /// Where weights are fetched from.
  std::optional<Endpoint> weights;
};

/// Faults of orders: numbers of orders still to be hit.
struct OrderFaults {
  std::int64_t lost = 0;
  std::int64_t late = 0;
  std::int64_t late_ms = 1000;
  std::int64_t doubled = 0;
};

/// What an engine stand-in holds in memory, and its answers to orders. Ends
/// the process loudly when it is overcommitted.
class EngineMemory {
 public:
  EngineMemory(boost::asio::io_context& context, EngineMemoryShape shape);

  /// Answers an order, or nothing where a fault loses it.
  std::optional<HttpResponse> OnOrder(const HttpRequest& request);
  /// Whether requests for a model may begin.
  bool Serves(std::string_view model) const;
  /// A request for a model begins (+1) or ends (-1); an unload waits for it.
  void OnRequest(std::string_view model, int change);

  std::vector<EngineArtifact> Items() const;
  std::int64_t used_mb() const;
  OrderFaults ReadFaults(ObjectReader& reader) const;
  void SetFaults(const OrderFaults& faults) { faults_ = faults; }

 private:
  HttpResponse Carry(const Order& order);
  void Load(const Order& order);
  boost::asio::awaitable<void> FinishLoad(Artifact item);
  boost::asio::awaitable<void> FinishUnload(Artifact item);
  boost::asio::awaitable<void> CarryLate(Order order);
  boost::asio::awaitable<void> Wait(std::int64_t ms);

  boost::asio::io_context& context_;
  EngineMemoryShape shape_;
  MonotonicClock clock_;
  HttpClient client_;
  OrderFaults faults_;
  std::uint64_t fence_ = 0;
  std::map<Artifact, EngineArtifact> items_;
  std::map<std::string, int, std::less<>> running_;
};

}  // namespace jackdaw
