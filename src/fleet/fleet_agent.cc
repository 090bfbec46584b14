// Beats: following the leader, leading, or acting alone.
#include "fleet/fleet_agent.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/digest.h"
#include "core/log.h"
#include "platform/tables.h"

namespace jackdaw::serving {
namespace {

// Pace of beats in a small fleet, the time that each member adds, and the
// slowest pace.
constexpr Micros kBeatLeast = 400ms;
constexpr Micros kBeatPerMember = 10ms;
constexpr Micros kBeatMost = 1000ms;
// Time over which instances that start together begin.
constexpr Micros kStartSpread = 250ms;
// Pace of an instance that leads or acts alone.
constexpr Micros kOwnBeat = 900ms;
// Least time between beats that are brought forward.
constexpr Micros kHastyBeat = 150ms;
// Time for the leader to answer a beat.
constexpr Micros kReplyTime = 400ms;
// Bytes of rows that a leader relays of a table in one round of beats, over a
// link of maybe 10 Mbit/s.
constexpr std::size_t kRelayedBytes = 400UL * 1024;
// Age of the last applied write up to which a leader's news count.
constexpr Micros kFreshTime = 1600ms;
// Pace at which the leader plans models.
constexpr Micros kPlanPace = 250ms;
// Beats without an answer after which the instance writes its own row.
constexpr int kBeatsLost = 2;
// Idle connections kept to each server of control calls.
constexpr std::size_t kKeptConnections = 3;
// Random bytes that tell the starts of an instance apart.
constexpr std::size_t kBootBytes = 8;

}  // namespace

FleetAgent::FleetAgent(boost::asio::io_context& context,
                       const GatewaySettings& settings,
                       const MonotonicClock& clock,
                       const BootClock& boot_clock,
                       TargetBoard& board,
                       LinkPool& links,
                       LocalQuotas& quotas,
                       RetryGate& retries,
                       CrashMemory& crashes,
                       DemandMeter& demand)
    : context_(context),
      settings_(settings),
      clock_(clock),
      boot_clock_(boot_clock),
      board_(board),
      links_(links),
      quotas_(quotas),
      retries_(retries),
      crashes_(crashes),
      demand_(demand),
      boot_(RandomHex(kBootBytes)),
      http_(context, clock, kKeptConnections),
      store_(http_, settings.store),
      config_watch_(context,
                    store_,
                    clock,
                    std::string(platform::kConfigTable),
                    {[this](const auto& rows) {
                       config_relay_.OnWhole(rows, clock_.Now());
                       OnConfigRows(rows);
                     },
                     [this](const auto& rows) {
                       config_relay_.OnChanges(rows, clock_.Now());
                       OnConfigRows(rows);
                     },
                     [] {}}),
      target_watch_(context,
                    store_,
                    clock,
                    std::string(platform::kTargetTable),
                    {[this](const auto& rows) {
                       target_relay_.OnWhole(rows, clock_.Now());
                       OnTargetChanges(target_feed_.OnWhole(DecodeTargets(rows),
                                                            clock_.Now()));
                     },
                     [this](const auto& rows) {
                       target_relay_.OnChanges(rows, clock_.Now());
                       OnTargetChanges(target_feed_.OnChanges(
                           DecodeTargets(rows), clock_.Now()));
                     },
                     [this] { target_feed_.OnStoreBack(clock_.Now()); }}),
      leadership_(settings.name,
                  ToText(settings.peer),
                  boot_,
                  settings.lease_time),
      desk_(http_, board, leadership_, clock, boot_clock, settings.name),
      placer_(context, clock, desk_, members_, demand, settings.name),
      beat_timer_(context),
      random_(std::hash<std::string>{}(boot_)) {}

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
  Spawn(RunBeats(), "beats");
  Spawn(RunPlacement(), "placement");
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
  beat_timer_.cancel();
}

boost::asio::awaitable<void> FleetAgent::Leave() {
  state_ = MemberState::kGone;
  bool told = false;
  if (!leadership_.Holds()) {
    told = co_await Follow();
  }
  if (!told) {
    co_await WriteFleet(true);
  }
}

std::vector<Endpoint> FleetAgent::EntryAddresses() const {
  std::vector<Endpoint> addresses;
  for (const FleetMember& member : view_.members) {
    // A leader that does not answer is probably gone.
    const bool lost =
        beats_failed_ > kBeatsLost && member.name == leadership_.lease().holder;
    if (member.name != settings_.name && !lost &&
        member.state == MemberState::kReady) {
      addresses.push_back(member.entry);
    }
  }
  if (ready()) {
    addresses.push_back(settings_.entry);
  }
  return addresses;
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

Member FleetAgent::OwnRow() const {
  Member own;
  own.name = settings_.name;
  own.entry = settings_.entry;
  own.peer = settings_.peer;
  own.failure_domain = settings_.failure_domain;
  own.boot = boot_;
  own.beat = beat_;
  own.state = ready() ? MemberState::kReady : state_;
  own.shares_epoch = shares_applied_;
  for (const auto& [key, demand] : demand_.averages()) {
    own.demand.push_back({key, demand});
  }
  own.crashes = crashes_.Own(clock_.Now());
  return own;
}

Micros FleetAgent::BeatSpan() const {
  if (!following_) {
    return kOwnBeat;
  }
  const auto members = static_cast<std::int64_t>(view_.members.size());
  return std::clamp(kBeatPerMember * members, kBeatLeast, kBeatMost);
}

boost::asio::awaitable<void> FleetAgent::RunBeats() {
  co_await Pause(Micros(static_cast<std::int64_t>(
      random_.Below(static_cast<std::uint64_t>(kStartSpread.count())))));
  for (;;) {
    co_await Beat();
    const Micros span = BeatSpan();
    const auto jitter = Micros(static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(span.count() / 8))));
    beat_timer_.expires_after(span - jitter);
    co_await beat_timer_.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

// Only a beat that follows is brought forward: it costs the store nothing.
void FleetAgent::HastenBeat() {
  if (following_ && clock_.Now() - beat_sent_at_ >= kHastyBeat) {
    beat_timer_.cancel();
  }
}

boost::asio::awaitable<void> FleetAgent::Beat() {
  beat_sent_at_ = clock_.Now();
  demand_.EndPeriod(clock_.Now());
  ++beat_;
  const bool knows_leader = LeaderAddress().has_value();
  bool followed = false;
  if (knows_leader) {
    followed = co_await Follow();
  }
  if (!followed) {
    co_await ActAlone(!knows_leader);
  }
  DropShareIfSilent();
  for (const std::string& id : target_feed_.Expire(clock_.Now())) {
    TargetFeed::Changes changes;
    changes.removed.push_back(id);
    OnTargetChanges(changes);
  }
}

// Sends a beat to the leader. @returns whether its news can be relied on
boost::asio::awaitable<bool> FleetAgent::Follow() {
  const auto leader = LeaderAddress();
  if (!leader) {
    co_return false;
  }
  BeatRequest beat;
  beat.member = OwnRow();
  beat.view_id = view_.id;
  beat.config_after = config_relay_.version();
  beat.targets_after = target_relay_.version();
  HttpRequest request;
  request.method = "POST";
  request.target = "/peer/beat";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = EncodeBeat(beat);
  const Instant sent_at = boot_clock_.Now();
  const Result<HttpResponse> answer = co_await http_.Fetch(
      *leader, std::move(request), clock_.Now() + kReplyTime);
  if (!answer || answer.value().status != 200) {
    ++beats_failed_;
    SetFollowing(false);
    co_return false;
  }
  const auto reply = DecodeBeatReply(answer.value().body);
  if (!reply) {
    Log(LogLevel::kError, "beat_unreadable", {{"error", reply.error().Line()}});
    ++beats_failed_;
    SetFollowing(false);
    co_return false;
  }
  beats_failed_ = 0;
  in_touch_at_ = sent_at;
  OnReply(reply.value());
  SetFollowing(reply.value().fresh);
  co_return reply.value().fresh;
}

void FleetAgent::OnReply(const BeatReply& reply) {
  const Instant now = clock_.Now();
  if (reply.view) {
    view_ = *reply.view;
    retries_.SetInstances(static_cast<int>(view_.members.size()));
  }
  if (reply.shares && reply.shares->epoch >= shares_.epoch) {
    shares_ = *reply.shares;
    ApplyShares();
  }
  fleet_known_ = true;
  read_config_ = reply.config.read_store;
  read_targets_ = reply.targets.read_store;
  platform::RowSet rows;
  rows.version = reply.config.version;
  rows.rows = reply.config.rows;
  for (platform::StoredRow& row : rows.rows) {
    row.at.table = platform::kConfigTable;
  }
  config_relay_.OnDelta(reply.config, now);
  OnConfigRows(rows);
  rows.version = reply.targets.version;
  rows.rows = reply.targets.rows;
  target_relay_.OnDelta(reply.targets, now);
  const auto targets = DecodeTargets(rows);
  OnTargetChanges(reply.targets.whole ? target_feed_.OnWhole(targets, now)
                                      : target_feed_.OnChanges(targets, now));
  crashes_.OnPeerCounts("fleet", reply.crashes);
}

void FleetAgent::Watch(StoreWatch& watch, const RowRelay& known, bool active) {
  if (active) {
    watch.Resume(known.version());
  }
  watch.SetActive(active);
}

// While the leader's news can be relied on, the store is not watched.
void FleetAgent::SetFollowing(bool following) {
  if (following_ != following) {
    Log(LogLevel::kInfo, following ? "following" : "acting_alone",
        {{"leader", leadership_.lease().holder}});
  }
  following_ = following;
  Watch(config_watch_, config_relay_, !following || read_config_);
  Watch(target_watch_, target_relay_, !following || read_targets_);
}

bool FleetAgent::FreshAsLeader() const {
  return leadership_.Holds() && boot_clock_.Now() - wrote_at_ < kFreshTime &&
         !config_watch_.lost() && !target_watch_.lost();
}

// Leads, or lives without a leader: the rows of the store decide. An instance
// that learns of a leader from them follows it at once, so that of many that
// start together only one watches the store.
// @param may_follow no leader was tried in this beat
boost::asio::awaitable<void> FleetAgent::ActAlone(bool may_follow) {
  for (;;) {
    co_await ReadFleet();
    const bool learned = may_follow && LeaderAddress().has_value();
    if (learned) {
      may_follow = false;
      if (co_await Follow()) {
        co_return;
      }
    }
    SetFollowing(false);
    if (!fleet_known_) {
      co_return;
    }
    const bool written = co_await WriteFleet(beats_failed_ >= kBeatsLost);
    // Another instance may have taken the lease meanwhile.
    if (written || !may_follow || leadership_.Holds()) {
      co_return;
    }
    may_follow = false;
  }
}

std::optional<BeatReply> FleetAgent::OnBeat(const BeatRequest& beat) {
  if (!leadership_.Holds()) {
    return std::nullopt;
  }
  const Instant now = clock_.Now();
  members_.OnBeat(beat.member, now);
  crashes_.OnPeerCounts(beat.member.name, beat.member.crashes);
  RefreshView();
  BeatReply reply;
  reply.fresh = FreshAsLeader();
  reply.term = leadership_.term();
  if (beat.view_id != view_.id) {
    reply.view = view_;
  }
  if (beat.member.shares_epoch != shares_.epoch) {
    reply.shares = shares_;
  }
  const std::size_t most =
      kRelayedBytes / std::max<std::size_t>(1, view_.members.size());
  reply.config = config_relay_.Since(beat.config_after, most);
  reply.targets = target_relay_.Since(beat.targets_after, most);
  reply.crashes = crashes_.Own(now);
  return reply;
}

boost::asio::awaitable<void> FleetAgent::RunPlacement() {
  for (;;) {
    co_await Pause(kPlanPace);
    if (config_ != nullptr && leadership_.MayOrder(boot_clock_.Now())) {
      placer_.Plan(*config_, clock_.Now());
    }
  }
}

}  // namespace jackdaw::serving
