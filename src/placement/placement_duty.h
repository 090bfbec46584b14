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
#include "placement/demand_board.h"
#include "placement/fleet_survey.h"
#include "placement/load_queue.h"
#include "placement/own_target.h"
#include "placement/planner.h"
#include "platform/table_store.h"
#include "timeline/event_log.h"

namespace jackdaw {

/// The placement thread of an instance: takes the leases of its share of the
/// targets, reads their engines, publishes what its callers ask for, plans
/// and sends orders. All state lives on this thread.
class PlacementDuty {
 public:
  /// @param self name of this instance @param incarnation of this process
  PlacementDuty(std::string self,
                std::uint64_t incarnation,
                const MonotonicClock& clock,
                const Endpoint& platform,
                const FleetViewHolder& view,
                const RunState& run_state,
                DemandBoard& board,
                EventLog& events);

  void Start();
  void Stop() { duty_.Stop(); }
  /// Ends what was suspended on the stopped thread.
  void EndCoroutines() { duty_.EndCoroutines(); }

  /// What is where and why, for operators, as JSON.
  std::string StatusJson() const { return *status_.load(); }

 private:
  struct Peer {
    PlacementState state;
    std::uint64_t row_version = 0;
    Instant changed_at{};
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<bool> ReadTable();
  boost::asio::awaitable<void> Publish();
  boost::asio::awaitable<void> WriteLease(std::string name);
  boost::asio::awaitable<void> ReadEngine(std::string name);
  boost::asio::awaitable<void> SendOrder(std::string name, Order order);
  boost::asio::awaitable<bool> Commit(Transaction transaction);
  boost::asio::awaitable<void> BindCopies();
  boost::asio::awaitable<void> RollOut();
  boost::asio::awaitable<void> CarryOut();
  boost::asio::awaitable<void> Evict(OwnTarget& own, Artifact item);
  boost::asio::awaitable<void> BeginLoad(OwnTarget& own, const Move& move);
  boost::asio::awaitable<bool> AskSlot(const LoadTicket& ticket);
  boost::asio::awaitable<void> ReturnSlots();

  void FollowConfig(const FleetView& view);
  void FollowAssignment(const FleetView& view);
  void TakeRow(const Row& row);
  void TakeDemand();
  void Survey();
  void LoadAdapters();
  void SetExpected();
  void PublishStatus();
  bool IsUsable(const OwnTarget& own) const;
  CopySet CopiesFor(std::string_view model) const;
  std::int64_t Setting(std::string_view name) const;
  std::int64_t AdapterMemory(const OwnTarget& own) const;

  std::string self_;
  std::uint64_t incarnation_;
  const MonotonicClock& clock_;
  const FleetViewHolder& view_;
  const RunState& run_state_;
  DemandBoard& board_;
  EventLog& events_;
  Duty duty_;
  serving::platform::TableStore platform_;
  HttpClient engines_;
  FleetConfigPtr config_;
  std::map<std::string, OwnTarget, std::less<>> own_;
  std::map<std::string, Peer, std::less<>> peers_;
  FleetSurvey survey_;
  DemandEstimate demand_;
  TokensByModel own_rate_;
  Instant last_taken_at_{};
  LoadQueue queue_;
  std::uint64_t queue_version_ = 0;
  FleetPlan plan_;
  std::vector<Move> moves_;
  Planner planner_{PlannerShape{}};
  Instant started_at_{};
  std::atomic<std::shared_ptr<const std::string>> status_{
      std::make_shared<const std::string>("{}")};
};

}  // namespace jackdaw
