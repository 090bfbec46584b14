#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/leadership.h"
#include "fleet/load_budget.h"
#include "fleet/model_plan.h"
#include "fleet/order_tracker.h"
#include "gateway/target_registry.h"
#include "http/client.h"
#include "platform/order_codec.h"

namespace jackdaw::serving {

/// Sends the leader's orders to load and unload models and adapters to targets.
/// Each order names the count of orders that the target has accepted so far, so
/// an order that was not answered cannot be executed after a later one. For
/// kUnansweredOrderLifetime after an unanswered order the target counts as
/// busy, and the model to be loaded counts as held.
class OrderDispatcher {
 public:
  /// @param own_name name of the instance, sent in orders as the lease holder
  OrderDispatcher(HttpClient& http,
                  TargetRegistry& registry,
                  const Leadership& leadership,
                  const MonotonicClock& clock,
                  const BootClock& boot_clock,
                  std::string own_name);

  /// Returns the ids of the targets that hold an adapter. If there is none,
  /// loads the adapter first; the result is empty if it could not be loaded.
  boost::asio::awaitable<std::vector<std::string>>
  PlaceAdapter(Service service, std::string model, std::string adapter);

  /// Returns the models that each target of a service holds or may soon hold.
  std::vector<EngineView> Views(const Service& service) const;
  /// Returns the number of loads from the weight store that may start now; 0 or
  /// less if none may.
  int AvailableLoads(const EngineSpec& offer) const;
  /// Executes a planned move; returns when it is done or has failed.
  boost::asio::awaitable<void> ApplyMove(Service service, PlacementMove move);
  /// Returns the order requests sent since startup, retries included.
  std::uint64_t orders_sent() const { return orders_sent_; }
  /// Returns the moves started since startup that load from the weight store.
  std::uint64_t loads_started() const { return load_budget_.started(); }
  /// The instance has become the leader. The orders of the previous leader are
  /// unknown, so all that is known of the targets is discarded.
  void OnLeaseAcquired(Instant now);

 private:
  /// Order state of one start of a target's process.
  struct TrackedTarget {
    /// Start time that the target's entry states, in Unix milliseconds.
    std::int64_t born_ms = -1;
    OrderTracker tracker;
  };

  /// Unset if no answer arrived.
  using Answer = std::optional<platform::OrderAnswer>;

  OrderTracker& TrackerOf(const Target& target);
  boost::asio::awaitable<Answer> SendOrder(TargetPtr target,
                                           EngineSpec offer,
                                           platform::Order order);
  boost::asio::awaitable<Answer> SendAttempt(TargetPtr target,
                                             platform::Order order);
  boost::asio::awaitable<Answer> RetryOrder(TargetPtr target,
                                            platform::Order order);
  boost::asio::awaitable<bool> EvictAdapters(TargetPtr target,
                                             EngineSpec offer,
                                             std::string name);
  boost::asio::awaitable<bool> FetchReport(TargetPtr target);
  boost::asio::awaitable<bool> WaitForModel(TargetPtr target,
                                            std::string model,
                                            bool held,
                                            Instant deadline);
  boost::asio::awaitable<bool> LoadAdapterOn(TargetPtr target,
                                             EngineSpec offer,
                                             std::string model,
                                             std::string adapter);
  boost::asio::awaitable<void> Pause(Micros span);
  TargetPtr ChooseAdapterTarget(const Service& service,
                                const std::string& model) const;
  std::optional<std::string> AdapterToUnload(const Target& target);
  std::vector<std::string> TargetsHolding(const Service& service,
                                          const std::string& name) const;

  HttpClient& http_;
  TargetRegistry& registry_;
  const Leadership& leadership_;
  const MonotonicClock& clock_;
  const BootClock& boot_clock_;
  std::string own_name_;
  std::map<std::string, TrackedTarget> tracked_targets_;
  std::set<std::string> adapters_loading_;
  LoadBudget load_budget_;
  std::uint64_t orders_sent_ = 0;
};

}  // namespace jackdaw::serving
