#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/random.h"
#include "fleet/leadership.h"
#include "fleet/member_table.h"
#include "fleet/order_desk.h"
#include "fleet/share_plan.h"
#include "fleet/store_watch.h"
#include "fleet/target_feed.h"
#include "gateway/exchange_ports.h"
#include "platform/store_client.h"
#include "settings/gateway_settings.h"

namespace jackdaw::serving {

/// What the instance shares with the fleet through the store: configuration,
/// targets, members, the leader's lease and the shares of quotas.
class FleetAgent {
 public:
  FleetAgent(boost::asio::io_context& context,
             const GatewaySettings& settings,
             const MonotonicClock& clock,
             const BootClock& boot_clock,
             TargetBoard& board,
             LinkPool& links,
             QuotaBook& quotas,
             RetryGate& retries,
             CrashMemory& crashes,
             DemandMeter& demand);

  /// Starts all duties on the event loop.
  void Start();
  /// Tells the others that no new callers are to come here.
  void BeginDrain();
  /// Tells the others that the instance ends and gives its lease up.
  boost::asio::awaitable<void> Leave();

  ConfigPtr config() const { return config_; }
  /// Whether the instance can serve callers.
  bool ready() const;
  bool draining() const { return state_ == MemberState::kDraining; }
  /// Addresses that callers are to use, this instance's among them if ready.
  std::vector<Endpoint> EntryAddresses() const;
  /// Other live members.
  std::vector<MemberView> Peers() const;
  /// The leading instance, if it is known and not this one.
  const Member* Leader() const;
  bool leads() const { return leadership_.Holds(); }
  OrderDesk& desk() { return desk_; }
  const MemberTable& members() const { return members_; }

 private:
  boost::asio::awaitable<void> RunHeartbeat();
  boost::asio::awaitable<void> Beat();
  boost::asio::awaitable<void> ReadFleet();
  boost::asio::awaitable<bool> WriteFleet();
  boost::asio::awaitable<void> RunPlacement();
  boost::asio::awaitable<void> Pause(Micros span);
  void PlaceModels();
  void PlaceService(const Service& service);
  ModelLoads LoadsOf(const Service& service) const;

  void OnFleetRows(const platform::RowSet& rows);
  void OnConfigRows(const platform::RowSet& rows);
  void OnTargetChanges(const TargetFeed::Changes& changes);
  std::vector<TargetRow> DecodeTargets(const platform::RowSet& rows) const;
  void ApplyShares();
  Member OwnRow() const;
  void Spawn(boost::asio::awaitable<void> work, std::string name);

  boost::asio::io_context& context_;
  const GatewaySettings& settings_;
  const MonotonicClock& clock_;
  const BootClock& boot_clock_;
  TargetBoard& board_;
  LinkPool& links_;
  QuotaBook& quotas_;
  RetryGate& retries_;
  CrashMemory& crashes_;
  DemandMeter& demand_;
  std::string boot_;
  HttpClient http_;
  platform::StoreClient store_;
  StoreWatch config_watch_;
  StoreWatch target_watch_;
  TargetFeed target_feed_;
  MemberTable members_;
  Leadership leadership_;
  OrderDesk desk_;
  ConfigPtr config_;
  MemberState state_ = MemberState::kStarting;
  std::int64_t beat_ = 0;
  std::int64_t term_seen_ = 0;
  ShareTable shares_;
  std::int64_t shares_row_version_ = 0;
  std::int64_t shares_applied_ = 0;
  Instant read_at_{};
  Instant committed_at_{};
  bool fleet_read_ = false;
};

}  // namespace jackdaw::serving
