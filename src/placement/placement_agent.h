#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "instance/run_state.h"
#include "placement/demand_tracker.h"
#include "placement/fleet_state.h"
#include "placement/load_queue.h"
#include "placement/managed_target.h"
#include "placement/planner.h"
#include "platform/table_store.h"
#include "timeline/event_log.h"

namespace jackdaw {

/// The placement thread of an instance: holds the leases of the targets that
/// are assigned to the instance, reads the state of their engines, publishes
/// the demand of its callers, plans, and sends orders. Only the status and the
/// demand tracker are also accessed by other threads.
class PlacementAgent {
 public:
  /// @param self name of this instance
  /// @param incarnation number that differs at each start of the process, so
  /// that the name of the lease holder is unique after a restart
  PlacementAgent(std::string self,
                 std::uint64_t incarnation,
                 const MonotonicClock& clock,
                 const Endpoint& platform,
                 const FleetViewHolder& view,
                 const RunState& run_state,
                 DemandTracker& demand_tracker,
                 EventLog& events);

  void Start();
  void Stop() { thread_.Stop(); }
  /// Destroys the coroutines suspended on the thread, after Stop.
  void EndCoroutines() { thread_.EndCoroutines(); }

  /// Returns, as JSON for operators, the leases that this instance holds, the
  /// items at these targets and the latest plan.
  std::string StatusJson() const { return *status_.load(); }

 private:
  // The latest row that an instance published; this instance is included.
  struct Peer {
    PlacementState state;
    std::uint64_t row_version = 0;
    Instant changed_at{};
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> RunRound();
  boost::asio::awaitable<bool> ReadTable();
  boost::asio::awaitable<void> Publish();
  boost::asio::awaitable<void> WriteLeaseAndSendOrders(std::string name);
  boost::asio::awaitable<void> ReadEngine(std::string name);
  boost::asio::awaitable<void> SendOrder(std::string name, Order order);
  boost::asio::awaitable<bool> Commit(Transaction transaction);
  boost::asio::awaitable<void> RegisterCopies();
  boost::asio::awaitable<void> RollOutVersions();
  boost::asio::awaitable<void> ExecutePlan();
  boost::asio::awaitable<void> Evict(ManagedTarget& managed, Artifact item);
  boost::asio::awaitable<void> StartLoad(ManagedTarget& managed,
                                         const PlacementAction& move);
  boost::asio::awaitable<bool> RequestSlot(const LoadTicket& ticket);
  boost::asio::awaitable<void> UpdateSlots();

  void ApplyConfig(const FleetView& view);
  void ApplyAssignment(const FleetView& view);
  void ApplyRow(const Row& row);
  void UpdateDemand();
  void CollectFleetState();
  void LoadAdapters();
  void SetExpectedReady();
  void PublishStatus();
  // Whether the engine is not draining, its controller is ready and its latest
  // report is recent.
  bool IsUsable(const ManagedTarget& managed) const;
  CopySet CopiesFor(std::string_view model) const;
  std::int64_t Setting(std::string_view name) const;
  std::int64_t AdapterMemory(const ManagedTarget& managed) const;

  std::string self_;
  std::uint64_t incarnation_;
  const MonotonicClock& clock_;
  const FleetViewHolder& view_;
  const RunState& run_state_;
  DemandTracker& demand_tracker_;
  EventLog& events_;
  Duty thread_;
  serving::platform::TableStore platform_;
  HttpClient engines_;
  FleetConfigPtr config_;
  std::map<std::string, ManagedTarget, std::less<>> managed_;
  std::map<std::string, Peer, std::less<>> peers_;
  FleetState fleet_;
  DemandEstimator demand_estimator_;
  TokensByModel local_demand_;
  Instant last_demand_at_{};
  LoadQueue load_queue_;
  std::uint64_t load_queue_version_ = 0;
  PlannerInput planner_input_;
  std::vector<PlacementAction> actions_;
  Planner planner_{PlannerOptions{}};
  Instant started_at_{};
  std::atomic<std::shared_ptr<const std::string>> status_{
      std::make_shared<const std::string>("{}")};
};

}  // namespace jackdaw
