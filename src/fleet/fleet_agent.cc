#include "fleet/fleet_agent.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/digest.h"
#include "core/log.h"
#include "fleet/relayed_target.h"
#include "platform/tables.h"
#include "platform/target_row.h"

namespace jackdaw::serving {
namespace {

// Interval at which the leader plans the placement of models.
constexpr Micros kPlanInterval = 250ms;
// Interval at which an instance notes that it runs, while services have cold
// targets, and otherwise.
constexpr Micros kObservationInterval = 100ms;
constexpr Micros kIdleObservationInterval = 1s;
// Idle connections kept to each server: the leader, the store, the targets.
constexpr std::size_t kMaxIdleConnections = 3;
// Number of random bytes in the boot id.
constexpr std::size_t kBootIdBytes = 8;
// Link of an instance whose settings do not name it, in Mbit/s.
constexpr double kDefaultLinkMbps = 10;

// Returns the compact text of a target's row. Rows that cannot be decoded are
// not in the replica.
std::string EncodeTargetText(const platform::StoredRow& row) {
  if (IsRelayedTarget(row.value)) {
    return row.value;
  }
  const auto entry = platform::DecodeTarget(row.at.key, row.value);
  return entry ? EncodeRelayedTarget(entry.value()) : PackValue(row.value);
}

}  // namespace

FleetAgent::FleetAgent(boost::asio::io_context& context,
                       const GatewaySettings& settings,
                       const MonotonicClock& clock,
                       const BootClock& boot_clock,
                       TargetRegistry& registry,
                       TargetConnectionPool& connections,
                       LocalQuotas& quotas,
                       RetryLimiter& retries,
                       CrashTracker& crashes,
                       DemandMeter& demand)
    : context_(context),
      settings_(settings),
      clock_(clock),
      boot_clock_(boot_clock),
      registry_(registry),
      connections_(connections),
      quotas_(quotas),
      retries_(retries),
      crashes_(crashes),
      demand_(demand),
      boot_id_(RandomHex(kBootIdBytes)),
      http_(context, clock, kMaxIdleConnections),
      store_(http_, settings.store),
      config_watch_(context,
                    store_,
                    clock,
                    std::string(platform::kConfigTable),
                    {[this](const auto& rows) { OnConfigRows(rows, true); },
                     [this](const auto& rows) { OnConfigRows(rows, false); },
                     [](Instant) {}},
                    std::hash<std::string>{}("config" + boot_id_)),
      target_watch_(context,
                    store_,
                    clock,
                    std::string(platform::kTargetTable),
                    {[this](const auto& rows) { OnTargetRows(rows, true); },
                     [this](const auto& rows) {
                       OnStoreContact(rows);
                       OnTargetRows(rows, false);
                     },
                     [this](Instant refused_at) {
                       target_feed_.OnStoreReconnected(refused_at,
                                                       clock_.Now());
                     }},
                    std::hash<std::string>{}("targets" + boot_id_)),
      target_replica_({EncodeTargetText, IsRelayedTarget}),
      relay_budget_(settings.link_mbps.value_or(kDefaultLinkMbps)),
      random_(std::hash<std::string>{}(boot_id_)),
      leadership_(settings.name,
                  ToText(settings.peer),
                  boot_id_,
                  settings.lease_time,
                  LeaseWait(settings.link_mbps, random_.Unit())),
      order_dispatcher_(http_,
                        registry,
                        leadership_,
                        clock,
                        boot_clock,
                        settings.name),
      placer_(context,
              clock,
              order_dispatcher_,
              members_,
              demand,
              settings.name),
      heartbeat_timer_(context),
      expiry_timer_(context),
      reliance_timer_(context) {}

void FleetAgent::Spawn(boost::asio::awaitable<void> work, std::string name) {
  boost::asio::co_spawn(
      context_, std::move(work),
      [name = std::move(name)](const std::exception_ptr& failure) {
        if (failure != nullptr) {
          Log(LogLevel::kError, "duty_failed", {{"duty", name}});
        }
      });
}

void FleetAgent::Start() {
  Spawn(config_watch_.Run(), "config_watch");
  Spawn(target_watch_.Run(), "target_watch");
  Spawn(HeartbeatLoop(), "beats");
  Spawn(RunTargetExpiry(), "target_expiry");
  Spawn(RunReliance(), "reliance");
  Spawn(RunPlacement(), "placement");
  Spawn(RunObservation(), "observation");
}

boost::asio::awaitable<void> FleetAgent::Pause(Micros span) {
  boost::asio::steady_timer timer(context_);
  timer.expires_after(span);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

bool FleetAgent::ready() const {
  return config_ != nullptr && fleet_known_ &&
         state_ != MemberState::kDraining && state_ != MemberState::kGone;
}

void FleetAgent::BeginDrain() {
  state_ = MemberState::kDraining;
  heartbeat_timer_.cancel();
}

boost::asio::awaitable<void> FleetAgent::Leave() {
  state_ = MemberState::kGone;
  bool reported = false;
  if (!leadership_.HoldsLease()) {
    reported = co_await SendHeartbeat();
  }
  if (!reported) {
    co_await WriteFleetTable(true);
  }
}

std::vector<Endpoint> FleetAgent::EntryAddresses(
    const CallerLocation& caller) const {
  std::vector<EntryInstance> instances;
  for (const MemberRecord* record : members_.Ready(clock_.Now())) {
    const Member& member = record->member;
    // A leader that has not answered several heartbeats has probably failed.
    const bool lost = failed_heartbeats_ > kFailedHeartbeatThreshold &&
                      member.name == silent_leader_;
    if (member.name != settings_.name && !lost) {
      instances.push_back({member.entry, member.failure_domain});
    }
  }
  if (ready()) {
    instances.push_back({settings_.entry, settings_.failure_domain});
  }
  return ChooseEntries(settings_.regions, instances,
                       EntryRegions(settings_.regions, config_.get(), caller));
}

std::vector<FleetMember> FleetAgent::Peers() const {
  std::vector<FleetMember> peers = view_.members;
  std::erase_if(peers, [&](const FleetMember& member) {
    return member.name == settings_.name;
  });
  return peers;
}

std::optional<Endpoint> FleetAgent::LeaderAddress() const {
  const LeaderLease& lease = leadership_.lease();
  if (lease.released || lease.holder.empty() ||
      lease.holder == settings_.name) {
    return std::nullopt;
  }
  const auto address = ParseEndpoint(lease.address);
  return address ? std::optional<Endpoint>(address.value()) : std::nullopt;
}

// An instance without requests is not taken for one that was paused.
boost::asio::awaitable<void> FleetAgent::RunObservation() {
  for (;;) {
    co_await Pause(registry_.has_cold_limits() ? kObservationInterval
                                               : kIdleObservationInterval);
    registry_.Observe(clock_.Now());
  }
}

// Ends the times of grace of targets on time, however far apart the heartbeats
// are.
boost::asio::awaitable<void> FleetAgent::RunTargetExpiry() {
  for (;;) {
    const std::optional<Instant> next = target_feed_.NextExpiry();
    if (next) {
      expiry_timer_.expires_after(std::max(Micros(0), *next - clock_.Now()));
    } else {
      expiry_timer_.expires_at(boost::asio::steady_timer::time_point::max());
    }
    co_await expiry_timer_.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    OnTargetChanges(target_feed_.Expire(clock_.Now()));
  }
}

boost::asio::awaitable<void> FleetAgent::RunPlacement() {
  for (;;) {
    co_await Pause(kPlanInterval);
    // Relayed rows do not say which models a target has near.
    if (config_ != nullptr && leadership_.MaySendOrders(boot_clock_.Now()) &&
        !target_replica_.HasCompactRows()) {
      placer_.Plan(*config_, clock_.Now());
    }
  }
}

}  // namespace jackdaw::serving
