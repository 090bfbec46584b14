#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/random.h"
#include "fleet/beat.h"
#include "fleet/fleet_view.h"
#include "fleet/leadership.h"
#include "fleet/member_table.h"
#include "fleet/model_placer.h"
#include "fleet/order_desk.h"
#include "fleet/row_relay.h"
#include "fleet/share_plan.h"
#include "fleet/store_watch.h"
#include "fleet/target_feed.h"
#include "gateway/exchange_ports.h"
#include "platform/store_client.h"
#include "settings/gateway_settings.h"

namespace jackdaw::serving {

/// What the instance shares with the fleet: configuration, targets, members,
/// the leader's lease and the shares of quotas.
///
/// The leader watches the store and answers the others' beats with what
/// changed, so that calls of the store do not grow with the fleet. An instance
/// that cannot reach a leader in touch with the store watches it by itself.
class FleetAgent {
 public:
  FleetAgent(boost::asio::io_context& context,
             const GatewaySettings& settings,
             const MonotonicClock& clock,
             const BootClock& boot_clock,
             TargetBoard& board,
             LinkPool& links,
             LocalQuotas& quotas,
             RetryGate& retries,
             CrashMemory& crashes,
             DemandMeter& demand);

  /// Starts all duties on the event loop.
  void Start();
  /// Tells the others that no new callers are to come here.
  void BeginDrain();
  /// Tells the others that the instance ends and gives its lease up.
  boost::asio::awaitable<void> Leave();
  /// Answers another instance's beat. @returns nothing where this one does
  /// not lead
  std::optional<BeatReply> OnBeat(const BeatRequest& beat);

  /// Brings the next beat forward, for news that others wait for.
  void HastenBeat();

  ConfigPtr config() const { return config_; }
  /// Whether the instance can serve callers.
  bool ready() const;
  bool draining() const { return state_ == MemberState::kDraining; }
  /// Addresses that callers are to use, this instance's among them if ready.
  std::vector<Endpoint> EntryAddresses() const;
  /// Other live members.
  std::vector<FleetMember> Peers() const;
  /// Where the leader is asked, if it is known and not this instance.
  std::optional<Endpoint> LeaderAddress() const;
  bool leads() const { return leadership_.Holds(); }
  bool following() const { return following_; }
  OrderDesk& desk() { return desk_; }
  const OrderDesk& desk() const { return desk_; }
  /// Calls of the store since the start.
  std::uint64_t store_calls() const { return store_.calls(); }
  /// The store is watched from here and does not answer.
  bool store_lost() const {
    return config_watch_.lost() || target_watch_.lost();
  }

 private:
  // Beats.
  boost::asio::awaitable<void> RunBeats();
  boost::asio::awaitable<void> Beat();
  boost::asio::awaitable<bool> Follow();
  boost::asio::awaitable<void> ActAlone(bool may_follow);
  void OnReply(const BeatReply& reply);
  void SetFollowing(bool following);
  static void Watch(StoreWatch& watch, const RowRelay& known, bool active);
  bool FreshAsLeader() const;
  Micros BeatSpan() const;

  // Rows of the fleet in the store.
  boost::asio::awaitable<void> ReadFleet();
  boost::asio::awaitable<bool> WriteFleet(bool with_member);
  void OnFleetRows(const platform::RowSet& rows);
  void OnLeaseWon(const std::string& last_holder);
  void ApplyShares();
  void DropShareIfSilent();
  void RefreshView();
  Member OwnRow() const;

  // Configuration and targets.
  void OnConfigRows(const platform::RowSet& rows);
  void LogQuotas(const ServingConfig& config) const;
  void OnTargetChanges(const TargetFeed::Changes& changes);
  std::vector<TargetRow> DecodeTargets(const platform::RowSet& rows) const;

  boost::asio::awaitable<void> RunPlacement();
  boost::asio::awaitable<void> Pause(Micros span);
  void Spawn(boost::asio::awaitable<void> work, std::string name);

  boost::asio::io_context& context_;
  const GatewaySettings& settings_;
  const MonotonicClock& clock_;
  const BootClock& boot_clock_;
  TargetBoard& board_;
  LinkPool& links_;
  LocalQuotas& quotas_;
  RetryGate& retries_;
  CrashMemory& crashes_;
  DemandMeter& demand_;
  std::string boot_;
  HttpClient http_;
  platform::StoreClient store_;
  StoreWatch config_watch_;
  StoreWatch target_watch_;
  RowRelay config_relay_;
  RowRelay target_relay_;
  TargetFeed target_feed_;
  MemberTable members_;
  FleetView view_;
  Leadership leadership_;
  OrderDesk desk_;
  ModelPlacer placer_;
  boost::asio::steady_timer beat_timer_;
  Random random_;
  ConfigPtr config_;
  MemberState state_ = MemberState::kStarting;
  std::int64_t beat_ = 0;
  std::int64_t views_made_ = 0;
  std::int64_t view_row_version_ = 0;
  std::string view_written_;
  ShareTable shares_;
  std::int64_t shares_row_version_ = 0;
  std::int64_t shares_applied_ = 0;
  std::map<std::string, std::int64_t> member_versions_;
  Instant fleet_read_at_{};
  Instant wrote_at_{};
  Instant in_touch_at_{};
  bool following_ = false;
  /// What the leader does not relay is read from the store meanwhile.
  bool read_config_ = false;
  bool read_targets_ = false;
  int beats_failed_ = 0;
  Instant beat_sent_at_{};
  bool fleet_known_ = false;
};

}  // namespace jackdaw::serving
