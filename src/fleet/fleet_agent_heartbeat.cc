// Heartbeats: following a leader, leading, or working with the store directly.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/fleet_timing.h"
#include "platform/tables.h"

namespace jackdaw::serving {
namespace {

// The first heartbeat of an instance is delayed by a random time up to this, so
// that instances that start together do not send at once.
constexpr Micros kStartupSpread = 250ms;
// Heartbeat interval of an instance that has no leader.
constexpr Micros kStoreSyncInterval = 900ms;
// The same for an instance that has not been granted parts of the quotas since
// its start: until then it refuses what it cannot borrow.
constexpr Micros kStartupInterval = 300ms;
// Least time between the previous heartbeat and one that is sent early.
constexpr Micros kMinExpediteInterval = 150ms;
// Timeout of a heartbeat to the leader.
constexpr Micros kHeartbeatTimeout = 400ms;
// A member of which nothing was learned for this time is forgotten.
constexpr Micros kMemberRetention = 120s;
// Longest reply of a leader that is read: the relayed rows, as JSON text in
// JSON, with the view and a configuration.
constexpr std::size_t kMaxReplyBytes = 4UL * 1024 * 1024;
// A leader whose last successful write to the store is older than this tells
// its followers not to rely on it, and hands out no parts of quotas.
constexpr Micros kMaxLeaderWriteAge = 1600ms;

}  // namespace

Member FleetAgent::OwnMember() const {
  Member own;
  own.name = settings_.name;
  own.entry = settings_.entry;
  own.peer = settings_.peer;
  own.failure_domain = settings_.failure_domain;
  own.boot_id = boot_id_;
  own.heartbeat_number = heartbeat_number_;
  own.sent_at = store_clock_.At(clock_.Now());
  own.state = ready() ? MemberState::kReady : state_;
  own.parts_epoch = quotas_.epoch();
  own.parts = quotas_.parts();
  for (const auto& [key, demand] : demand_.averages()) {
    own.demand.push_back({key, demand});
  }
  own.crashes = crashes_.Unreported(clock_.Now());
  own.rate_limits = registry_.RateLimits(clock_.Now());
  own.leaving_targets = registry_.LeavingTargets();
  return own;
}

Micros FleetAgent::HeartbeatInterval() const {
  if (following_) {
    return FollowerInterval(FleetSize());
  }
  if (quotas_.epoch() == 0) {
    return kStartupInterval;
  }
  return leadership_.HoldsLease() ? kLeaderInterval : kStoreSyncInterval;
}

// The view of a new leader grows as its followers report, so it alone would
// make all of them send heartbeats at the short interval of a small fleet.
std::size_t FleetAgent::FleetSize() const {
  return std::max(view_.members.size(), members_.all().size());
}

// An instance that leaves a free lease to others looks again when it may
// acquire the lease.
Micros FleetAgent::NextHeartbeatDelay() {
  const Micros span = HeartbeatInterval();
  const auto jitter = Micros(static_cast<std::int64_t>(
      random_.Below(static_cast<std::uint64_t>(span.count() / 8))));
  const Instant now = boot_clock_.Now();
  const std::optional<Instant> until = leadership_.WaitsUntil(now);
  return until ? std::min(span - jitter, *until - now) : span - jitter;
}

boost::asio::awaitable<void> FleetAgent::HeartbeatLoop() {
  co_await Pause(Micros(static_cast<std::int64_t>(
      random_.Below(static_cast<std::uint64_t>(kStartupSpread.count())))));
  for (;;) {
    co_await RunHeartbeat();
    heartbeat_timer_.expires_after(NextHeartbeatDelay());
    co_await heartbeat_timer_.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

// Only a heartbeat to a leader is sent early, as it makes no call to the store.
void FleetAgent::ExpediteHeartbeat() {
  if (following_ && clock_.Now() - heartbeat_sent_at_ >= kMinExpediteInterval) {
    heartbeat_timer_.cancel();
  }
}

boost::asio::awaitable<void> FleetAgent::RunHeartbeat() {
  heartbeat_sent_at_ = clock_.Now();
  demand_.EndPeriod(clock_.Now());
  ++heartbeat_number_;
  members_.RemoveSilent(clock_.Now() - kMemberRetention);
  CountCrashes();
  const bool knows_leader = LeaderAddress().has_value();
  bool followed = false;
  if (knows_leader) {
    followed = co_await SendHeartbeat();
  }
  if (!followed) {
    co_await SyncWithStore(!knows_leader);
  }
  LogBlocked();
  LogLapsedParts();
  OnEvacuationChanges(evacuations_.Expire(clock_.Now()));
  LogUnknownEvacuations();
}

void FleetAgent::CountCrashes() {
  const Instant now = clock_.Now();
  for (const CrashSuspect& crash : crashes_.CountCrashes(now)) {
    Log(LogLevel::kInfo, "request_crashed_target",
        {{"digest", std::to_string(crash.digest)},
         {"target", crash.target->entry.id},
         {"born", std::to_string(crash.target->entry.born_ms)},
         {"silent_ms", std::to_string((now - crash.ended_at) / 1ms)},
         {"targets", std::to_string(crashes_.Crashes(crash.digest, now))}});
  }
}

// Logs which requests and prompt parts are blocked since the last heartbeat,
// and which are not any more.
void FleetAgent::LogBlocked() {
  const Instant now = clock_.Now();
  std::vector<std::uint64_t> blocked;
  for (const CrashReport& report : crashes_.BlockedRequests(now)) {
    if (report.crashes > 0) {
      blocked.push_back(report.digest);
    }
  }
  std::ranges::sort(blocked);
  const auto log_new = [&](std::string_view event, const auto& from,
                           const auto& other) {
    for (const std::uint64_t digest : from) {
      if (!std::ranges::binary_search(other, digest)) {
        Log(LogLevel::kWarn, event,
            {{"digest_or_part", std::to_string(digest)},
             {"targets", std::to_string(crashes_.Crashes(digest, now))}});
      }
    }
  };
  log_new("crash_blocked", blocked, blocked_);
  log_new("crash_freed", blocked_, blocked);
  blocked_ = std::move(blocked);
}

// Sends a heartbeat to the leader and applies the reply.
// @returns whether the leader's data are recent, so that the store need not be
// read
boost::asio::awaitable<bool> FleetAgent::SendHeartbeat() {
  const auto leader = LeaderAddress();
  if (!leader) {
    co_return false;
  }
  const std::string leader_term = leadership_.lease().holder + "/" +
                                  std::to_string(leadership_.lease().term);
  if (reported_to_ != leader_term) {
    reported_to_ = leader_term;
    crashes_.ReportAgain();
  }
  HeartbeatRequest heartbeat;
  heartbeat.member = OwnMember();
  heartbeat.view_id = view_.id;
  heartbeat.config_after = config_replica_.version();
  heartbeat.config_version = config_ == nullptr ? 0 : config_->version;
  heartbeat.targets_after = target_replica_.version();
  heartbeat.row_form = kRowForm;
  HttpRequest request;
  request.method = "POST";
  request.target = "/peer/beat";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = EncodeHeartbeat(heartbeat);
  const Instant sent_at = boot_clock_.Now();
  const Instant asked_at = clock_.Now();
  const Result<HttpResponse> answer =
      co_await http_.Fetch(*leader, std::move(request),
                           clock_.Now() + kHeartbeatTimeout, kMaxReplyBytes);
  if (!answer || answer.value().status != 200) {
    OnHeartbeatFailed();
    co_return false;
  }
  const auto reply = DecodeHeartbeatReply(answer.value().body);
  if (!reply) {
    ++replies_unreadable_;
    Log(LogLevel::kError, "beat_unreadable", {{"error", reply.error().Line()}});
    OnHeartbeatFailed();
    co_return false;
  }
  failed_heartbeats_ = 0;
  ExtendParts(sent_at);
  crashes_.OnReported(heartbeat.member.crashes);
  OnHeartbeatReply(reply.value(), sent_at, asked_at);
  relies_until_ =
      asked_at - reply.value().contact_age + RelianceTime(FleetSize());
  const bool relies = reply.value().fresh && clock_.Now() < relies_until_;
  SetFollowing(relies);
  co_return relies;
}

// The leader may have ended before it stored what it was told.
void FleetAgent::OnHeartbeatFailed() {
  ++failed_heartbeats_;
  silent_leader_ = leadership_.lease().holder;
  crashes_.ReportAgain();
  SetFollowing(false);
}

// A leader has nobody to report to: it stores the crashes itself.
bool FleetAgent::HasUnreportedCrash() const {
  return !leadership_.HoldsLease() &&
         !crashes_.Unreported(clock_.Now()).empty();
}

// @param sent_at sending time of the heartbeat, by the boot clock
// @param asked_at the same by the monotonic clock
void FleetAgent::OnHeartbeatReply(const HeartbeatReply& reply,
                                  Instant sent_at,
                                  Instant asked_at) {
  const Instant now = clock_.Now();
  store_clock_.OnAnswer(reply.replied_at, now);
  if (reply.view) {
    SetView(*reply.view);
  }
  ConfirmView(reply.silent, asked_at);
  if (reply.parts) {
    OnPartsGranted(*reply.parts, sent_at);
  }
  fleet_known_ = true;
  OnRelayedConfig(reply);
  if (!reply.lost_config.empty()) {
    TakeConfig(reply.lost_config);
    store_lost_config_ = true;
  }
  // A leader in touch with the store shows that an outage is over before the
  // own watch does, which then stops.
  if (reply.fresh && target_watch_.refused_at()) {
    target_feed_.OnStoreReconnected(*target_watch_.refused_at(), now);
  }
  OnRelayedTargets(reply.targets);
  crashes_.AddReports(reply.crashes, now);
  registry_.AddRateLimits(reply.rate_limits, now);
  registry_.AddLeavingTargets(reply.leaving_targets, now);
}

// The store is watched only while no leader supplies recent data.
void FleetAgent::SetFollowing(bool following) {
  if (following_ != following) {
    Log(LogLevel::kInfo, following ? "following" : "acting_alone",
        {{"leader", leadership_.lease().holder},
         {"relied_for_ms_more",
          std::to_string((relies_until_ - clock_.Now()) / 1ms)}});
  }
  following_ = following;
  UpdateWatches();
  reliance_timer_.cancel();
}

// Stops relying on a leader that the store may not answer, without waiting for
// the next heartbeat.
boost::asio::awaitable<void> FleetAgent::RunReliance() {
  for (;;) {
    if (following_) {
      reliance_timer_.expires_after(
          std::max(Micros(0), relies_until_ - clock_.Now()));
    } else {
      reliance_timer_.expires_at(boost::asio::steady_timer::time_point::max());
    }
    co_await reliance_timer_.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    if (following_ && clock_.Now() >= relies_until_) {
      SetFollowing(false);
    }
  }
}

// What the store acknowledged before it made these rows is in them.
void FleetAgent::OnStoreContact(const platform::RowSet& rows) {
  const Instant now = clock_.Now();
  const StoreTime made{rows.epoch, rows.store_ms};
  store_clock_.OnAnswer(made, now);
  if (const auto made_at = store_clock_.ToLocal(made, now)) {
    store_contact_at_ =
        std::max(store_contact_at_, boot_clock_.Now() - (now - *made_at));
  }
}

bool FleetAgent::IsFreshLeader() const {
  return leadership_.HoldsLease() &&
         boot_clock_.Now() - last_write_at_ < kMaxLeaderWriteAge &&
         !config_watch_.lost() && !target_watch_.lost();
}

// Reads and writes the fleet table, as the leader or while no leader is
// reachable. An instance that learns of a leader from the rows follows it at
// once, so that of many instances that start together only one watches the
// store.
// @param try_leader whether a leader that the rows name is to be contacted;
// false if this heartbeat has already tried one
boost::asio::awaitable<void> FleetAgent::SyncWithStore(bool try_leader) {
  for (;;) {
    co_await ReadFleetTable();
    const bool learned = try_leader && LeaderAddress().has_value();
    if (learned) {
      try_leader = false;
      if (co_await SendHeartbeat()) {
        co_return;
      }
    }
    SetFollowing(false);
    if (!fleet_known_) {
      co_return;
    }
    const bool with_member =
        failed_heartbeats_ >= kFailedHeartbeatThreshold || HasUnreportedCrash();
    const bool written = co_await WriteFleetTable(with_member);
    if (written) {
      Spawn(RemoveOldRows(), "row_removal");
    }
    // The write failed, perhaps because another instance has acquired the
    // lease, so the rows are read and written once more.
    if (written || !try_leader || leadership_.HoldsLease()) {
      co_return;
    }
    try_leader = false;
  }
}

std::optional<HeartbeatReply> FleetAgent::OnHeartbeat(
    const HeartbeatRequest& heartbeat) {
  if (!leads()) {
    return std::nullopt;
  }
  const Instant now = clock_.Now();
  // A leader that was paused reads heartbeats late.
  const Instant alive_at =
      store_clock_.ToLocal(heartbeat.member.sent_at, now).value_or(now);
  members_.OnReport(heartbeat.member, LifeSign::kHeartbeat, alive_at, now);
  crashes_.AddReports(heartbeat.member.crashes, now);
  registry_.OnContact(now);
  registry_.AddRateLimits(heartbeat.member.rate_limits, now);
  registry_.AddLeavingTargets(heartbeat.member.leaving_targets, now);
  RefreshView();
  HeartbeatReply reply;
  reply.fresh = IsFreshLeader();
  reply.contact_age = boot_clock_.Now() - store_contact_at_;
  reply.term = leadership_.term();
  reply.replied_at = store_clock_.At(now);
  reply.silent = members_.Silent(now);
  if (heartbeat.view_id != view_.id) {
    reply.view = view_;
  }
  const PartSet usable = part_table_.UsableBy(heartbeat.member.name);
  const bool has_table = part_table_.epoch > 0 &&
                         part_table_.epoch >= FirstNumberOfEpoch(store_epoch_);
  // Only a leader with a recent write certainly has the newest table, and only
  // if it has sent no later one.
  if (reply.fresh && has_table && !parts_in_doubt_ &&
      (heartbeat.member.parts_epoch != part_table_.epoch ||
       heartbeat.member.parts != usable)) {
    reply.parts = PartGrant{part_table_.epoch, usable};
  }
  reply.relays_evacuations = true;
  RelayRows(heartbeat, reply);
  reply.lost_config = ConfigLostByStore(heartbeat.config_version);
  reply.crashes = crashes_.BlockedRequests(now);
  reply.rate_limits = registry_.RateLimits(now);
  reply.leaving_targets = registry_.LeavingTargets();
  return reply;
}

}  // namespace jackdaw::serving
