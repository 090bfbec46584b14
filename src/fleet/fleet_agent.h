#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/random.h"
#include "fleet/evacuations.h"
#include "fleet/fleet_view.h"
#include "fleet/fleet_write.h"
#include "fleet/heartbeat.h"
#include "fleet/leadership.h"
#include "fleet/member_rows.h"
#include "fleet/member_table.h"
#include "fleet/model_placer.h"
#include "fleet/order_dispatcher.h"
#include "fleet/part_plan.h"
#include "fleet/relay_budget.h"
#include "fleet/relay_counters.h"
#include "fleet/store_clock.h"
#include "fleet/store_watch.h"
#include "fleet/table_replica.h"
#include "fleet/target_feed.h"
#include "gateway/exchange_dependencies.h"
#include "platform/store_client.h"
#include "settings/gateway_settings.h"

namespace jackdaw::serving {

/// Runs the instance's part in the fleet: heartbeats, the leader's lease, the
/// replicas of configuration and targets, and the parts of the workspaces'
/// quotas that the instance may spend. The leader plans who holds the parts and
/// the placement of models.
///
/// The leader watches the store and answers the heartbeats of its followers
/// with the changes, so that the number of store calls does not grow with the
/// fleet. An instance that cannot reach a leader with a recent write to the
/// store watches the store itself.
class FleetAgent {
 public:
  FleetAgent(boost::asio::io_context& context,
             const GatewaySettings& settings,
             const MonotonicClock& clock,
             const BootClock& boot_clock,
             TargetRegistry& registry,
             TargetConnectionPool& connections,
             LocalQuotas& quotas,
             RetryLimiter& retries,
             CrashTracker& crashes,
             DemandMeter& demand);

  /// Starts all background tasks on the event loop.
  void Start();
  /// Marks the instance as draining and starts the next heartbeat, which
  /// publishes that it accepts no new callers. A leader releases the lease with
  /// it.
  void BeginDrain();
  /// Publishes that the instance ends, and releases the lease if it is still
  /// held.
  boost::asio::awaitable<void> Leave();
  /// Answers a heartbeat of another instance.
  /// @returns nothing if this instance does not lead
  std::optional<HeartbeatReply> OnHeartbeat(const HeartbeatRequest& heartbeat);

  /// Sends the next heartbeat early, for changes that others wait for.
  void ExpediteHeartbeat();

  ConfigPtr config() const { return config_; }
  /// Whether the instance can serve callers.
  bool ready() const;
  bool draining() const { return state_ == MemberState::kDraining; }
  /// Returns the addresses that callers are to use. Includes this instance's
  /// own address if it is ready.
  /// @param caller where the caller is and which host it calls
  std::vector<Endpoint> EntryAddresses(const CallerLocation& caller) const;
  const FleetView& view() const { return view_; }
  /// Returns the other live members.
  std::vector<FleetMember> Peers() const;
  /// Returns the leader's address for requests of instances, if the leader is
  /// known and is not this instance.
  std::optional<Endpoint> LeaderAddress() const;
  /// Whether this instance decides for the fleet. One that has sent a release
  /// of its lease does not, although the release may not have been applied.
  bool leads() const {
    return leadership_.HoldsLease() && !leadership_.IsReleasing();
  }
  /// Whether the instance relies on a leader for changes. It does not while the
  /// leader's last write to the store is too old.
  bool following() const { return following_; }
  /// Replies of the leader to heartbeats that could not be decoded.
  std::uint64_t replies_unreadable() const { return replies_unreadable_; }
  OrderDispatcher& order_dispatcher() { return order_dispatcher_; }
  const OrderDispatcher& order_dispatcher() const { return order_dispatcher_; }
  /// Returns the calls made to the store since startup.
  std::uint64_t store_calls() const { return store_.calls(); }
  /// Returns the calls by reason, and the bytes relayed.
  RelayCounters relay_counters() const;
  /// Whether this instance watches the store and the store does not answer.
  bool store_lost() const {
    return config_watch_.lost() || target_watch_.lost();
  }

 private:
  /// After this many failed heartbeats in a row an instance writes its row to
  /// the store. After one more, callers are no longer sent to the leader.
  static constexpr int kFailedHeartbeatThreshold = 2;

  // Heartbeats.
  boost::asio::awaitable<void> HeartbeatLoop();
  boost::asio::awaitable<void> RunHeartbeat();
  boost::asio::awaitable<bool> SendHeartbeat();
  void CountCrashes();
  void LogBlocked();
  boost::asio::awaitable<void> SyncWithStore(bool try_leader);
  void OnHeartbeatFailed();
  bool HasUnreportedCrash() const;
  void OnHeartbeatReply(const HeartbeatReply& reply,
                        Instant sent_at,
                        Instant asked_at);
  void SetFollowing(bool following);
  bool IsFreshLeader() const;
  void OnStoreContact(const platform::RowSet& rows);
  /// Returns the number of members of the fleet, as far as they are known.
  std::size_t FleetSize() const;
  Micros HeartbeatInterval() const;
  Micros NextHeartbeatDelay();

  // Rows relayed by the leader.
  void RelayRows(const HeartbeatRequest& heartbeat, HeartbeatReply& reply);
  void OnRelayedTargets(const RowDelta& delta);
  void LogReferral(std::string_view table, std::string_view reason);
  void UpdateWatches();
  void ConfigureWatch(StoreWatch& watch,
                      const TableReplica& replica,
                      bool active) const;

  // Rows of the fleet table in the store.
  boost::asio::awaitable<void> ReadFleetTable();
  boost::asio::awaitable<bool> WriteFleetTable(bool with_member);
  boost::asio::awaitable<void> RemoveOldRows();
  bool ending() const {
    return state_ == MemberState::kDraining || state_ == MemberState::kGone;
  }
  FleetWrite PrepareWrite(bool with_member);
  void RequireLease(FleetWrite& write) const;
  void AddLease(FleetWrite& write) const;
  void AddParts(FleetWrite& write) const;
  void AddView(FleetWrite& write) const;
  void AddCrashes(FleetWrite& write) const;
  void OnWriteSent(const FleetWrite& write);
  void OnWriteApplied(FleetWrite write, std::int64_t version);
  void OnLeaseWritten(const FleetWrite& write, std::int64_t version);
  void LogUnansweredWrite(const FleetWrite& write,
                          const Result<platform::RowCommit>& commit) const;
  LeaderLease ReadLease(const platform::StoredRow& row) const;
  void OnFleetRows(const platform::RowSet& rows);
  void OnStoreRestored(std::int64_t epoch);
  void OnLeaseAcquired(const std::string& last_holder,
                       std::string_view noticed_by);
  void ApplyOwnParts(Instant sent_at);
  void LowerParts();
  void OnPartsGranted(const PartGrant& grant, Instant sent_at);
  void SetParts(const PartSet& parts, std::int64_t epoch);
  void ExtendParts(Instant contact_at);
  void LogLapsedParts();
  void RefreshView();
  void SetView(FleetView view);
  void LogViewChange(const FleetView& next) const;
  void ConfirmView(std::span<const MemberSilence> silent, Instant confirmed_at);
  void OnMemberRow(const platform::StoredRow& row);
  void OnViewRow(const platform::StoredRow& row);
  void ConfirmStoredView();
  Member OwnMember() const;

  // Configuration and targets.
  /// What became of the document of a configuration.
  enum class ConfigOutcome : std::uint8_t { kUnreadable, kOlder, kInForce };

  void OnConfigRows(const platform::RowSet& rows, bool whole);
  void OnRelayedConfig(const HeartbeatReply& reply);
  void OnEvacuationChanges(const Evacuations::Changes& changes);
  void LogUnknownEvacuations();
  void LogUnknownRegions(const ServingConfig& config);
  ConfigOutcome TakeConfig(std::string_view document);
  std::string ConfigLostByStore(std::int64_t known_version) const;
  void LogQuotas(const ServingConfig& config) const;
  void OnTargetRows(const platform::RowSet& rows,
                    bool whole,
                    bool from_leader = false);
  void OnTargetChanges(const TargetFeed::Changes& changes);
  std::vector<TargetRow> DecodeTargets(const platform::RowSet& rows,
                                       bool from_leader) const;
  static platform::RowSet RelayedRows(platform::RowSet rows,
                                      std::span<const TargetRow> targets);

  boost::asio::awaitable<void> RunObservation();
  boost::asio::awaitable<void> RunPlacement();
  boost::asio::awaitable<void> RunTargetExpiry();
  boost::asio::awaitable<void> RunReliance();
  boost::asio::awaitable<void> Pause(Micros span);
  void Spawn(boost::asio::awaitable<void> work, std::string name);

  boost::asio::io_context& context_;
  const GatewaySettings& settings_;
  const MonotonicClock& clock_;
  const BootClock& boot_clock_;
  TargetRegistry& registry_;
  TargetConnectionPool& connections_;
  LocalQuotas& quotas_;
  RetryLimiter& retries_;
  CrashTracker& crashes_;
  DemandMeter& demand_;
  std::string boot_id_;
  HttpClient http_;
  platform::StoreClient store_;
  StoreWatch config_watch_;
  StoreWatch target_watch_;
  TableReplica config_replica_;
  TableReplica target_replica_;
  RelayBudget relay_budget_;
  RelayCounters relayed_;
  /// Time of the last log line that this instance was told to read the store.
  Instant referral_logged_at_{};
  TargetFeed target_feed_;
  Evacuations evacuations_;
  /// Evacuated failure domains that have not been looked up yet.
  DomainSet evacuations_to_check_;
  /// Allowed regions of the configuration in force that are not known.
  DomainSet unknown_regions_;
  StoreClock store_clock_;
  MemberTable members_;
  /// The leader's last view.
  FleetView view_;
  /// The view in the store, if its row was read.
  std::optional<FleetView> stored_view_;
  /// Latest local time at which `view_` certainly held at a leader.
  Instant view_confirmed_at_{};
  Random random_;
  Leadership leadership_;
  OrderDispatcher order_dispatcher_;
  ModelPlacer placer_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer expiry_timer_;
  boost::asio::steady_timer reliance_timer_;
  ConfigPtr config_;
  /// Document of the configuration in force, as it was read.
  std::string config_document_;
  /// The store has an older configuration than the one in force: it came back
  /// from an older copy, and the operator has not written again.
  bool store_lost_config_ = false;
  MemberState state_ = MemberState::kStarting;
  std::int64_t heartbeat_number_ = 0;
  /// Epoch of the store that the fleet table was read from; see TableVersion.
  std::int64_t store_epoch_ = 0;
  /// Number of views made; part of the id of a view.
  std::int64_t view_sequence_ = 0;
  /// Version of the view's row that was read or written last.
  std::int64_t view_row_version_ = 0;
  /// Id of the view that this instance wrote last.
  std::string view_written_;
  /// Table of the parts, as read from or written to the store.
  PartTable part_table_;
  std::int64_t parts_row_version_ = 0;
  /// A later table was sent to the store, and whether it was applied, or still
  /// will be, is not known. No parts are granted by the table known here.
  bool parts_in_doubt_ = false;
  /// Version of the row of crashes that was read or written last, and the
  /// revision of the tracker that this instance wrote last.
  std::int64_t crashes_row_version_ = 0;
  std::uint64_t crashes_written_ = 0;
  /// Requests and parts that were blocked at the last heartbeat, sorted.
  std::vector<std::uint64_t> blocked_;
  /// Leader and term to which crashes are reported.
  std::string reported_to_;
  /// Whether the store's table has been read for the parts that nobody uses
  /// until they are granted to this run of the instance.
  bool parts_reserved_ = false;
  /// Whether the instance used parts at the last heartbeat.
  bool had_parts_ = false;
  MemberRows member_rows_;
  /// A call that removes rows is open.
  bool removing_rows_ = false;
  /// Time of the last read of the fleet table; zero forces the next read.
  Instant fleet_read_at_{};
  /// Sending time of the last successful write to the store.
  Instant last_write_at_{};
  /// Latest time, by the boot clock, at which the store has certainly answered
  /// this instance: what it acknowledged before is known here.
  Instant store_contact_at_{};
  bool following_ = false;
  /// Time until which this instance relies on what its leader has relayed.
  Instant relies_until_{};
  std::uint64_t replies_unreadable_ = 0;
  /// Tables that are read from the store although the instance follows a
  /// leader, because their changes are too large to be relayed.
  bool read_config_ = false;
  bool read_targets_ = false;
  int failed_heartbeats_ = 0;
  /// The leader that did not answer the last failed heartbeat.
  std::string silent_leader_;
  Instant heartbeat_sent_at_{};
  /// The fleet table was read, or a leader has answered.
  bool fleet_known_ = false;
};

}  // namespace jackdaw::serving
