#include "fleet/fleet_agent.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/digest.h"
#include "core/log.h"
#include "fleet/leader_row.h"
#include "platform/config_row.h"
#include "platform/tables.h"
#include "platform/target_row.h"

namespace jackdaw::serving {
namespace {

// Pace of the heartbeat.
constexpr Micros kBeat = 1000ms;
// Time for the store to answer a call of the heartbeat.
constexpr Micros kCallTime = 900ms;
// Pace at which the leader plans models.
constexpr Micros kPlanPace = 250ms;
// Random bytes that tell the starts of an instance apart.
constexpr std::size_t kBootBytes = 8;
// Idle connections kept to each server of control calls.
constexpr std::size_t kKeptConnections = 3;
constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kLeaseKey = "leader";
constexpr std::string_view kSharesKey = "shares";

platform::RowKey FleetKey(std::string_view key) {
  return {std::string(platform::kFleetTable), "", std::string(key)};
}

}  // namespace

FleetAgent::FleetAgent(boost::asio::io_context& context,
                       const GatewaySettings& settings,
                       const MonotonicClock& clock,
                       const BootClock& boot_clock,
                       TargetBoard& board,
                       LinkPool& links,
                       QuotaBook& quotas,
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
      config_watch_(store_,
                    clock,
                    std::string(platform::kConfigTable),
                    {[this](const auto& rows) { OnConfigRows(rows); },
                     [this](const auto& rows) { OnConfigRows(rows); }, [] {}}),
      target_watch_(store_,
                    clock,
                    std::string(platform::kTargetTable),
                    {[this](const auto& rows) {
                       OnTargetChanges(target_feed_.OnWhole(DecodeTargets(rows),
                                                            clock_.Now()));
                     },
                     [this](const auto& rows) {
                       OnTargetChanges(target_feed_.OnChanges(
                           DecodeTargets(rows), clock_.Now()));
                     },
                     [this] { target_feed_.OnStoreBack(clock_.Now()); }}),
      leadership_(settings.name, boot_, settings.lease_time),
      desk_(http_, board, leadership_, clock, boot_clock, settings.name) {}

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
  Spawn(RunHeartbeat(), "heartbeat");
  Spawn(RunPlacement(), "placement");
}

boost::asio::awaitable<void> FleetAgent::Pause(Micros span) {
  boost::asio::steady_timer timer(context_);
  timer.expires_after(span);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

bool FleetAgent::ready() const {
  return config_ != nullptr && fleet_read_ &&
         state_ != MemberState::kDraining && state_ != MemberState::kGone;
}

void FleetAgent::BeginDrain() {
  state_ = MemberState::kDraining;
  Spawn(Beat(), "drain_beat");
}

boost::asio::awaitable<void> FleetAgent::Leave() {
  state_ = MemberState::kGone;
  co_await WriteFleet();
}

std::vector<Endpoint> FleetAgent::EntryAddresses() const {
  std::vector<Endpoint> addresses;
  for (const MemberView& view : members_.Ready(read_at_)) {
    if (view.member.name != settings_.name) {
      addresses.push_back(view.member.entry);
    }
  }
  if (ready()) {
    addresses.push_back(settings_.entry);
  }
  return addresses;
}

std::vector<MemberView> FleetAgent::Peers() const {
  std::vector<MemberView> peers = members_.Live(read_at_);
  std::erase_if(peers, [&](const MemberView& view) {
    return view.member.name == settings_.name;
  });
  return peers;
}

const Member* FleetAgent::Leader() const {
  const LeaderLease& lease = leadership_.lease();
  if (lease.released || lease.holder.empty() ||
      lease.holder == settings_.name) {
    return nullptr;
  }
  const MemberView* view = members_.Find(lease.holder);
  return view == nullptr ? nullptr : &view->member;
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

boost::asio::awaitable<void> FleetAgent::RunHeartbeat() {
  // A quarter of a beat apart, so that starts at one moment spread out.
  Random random(std::hash<std::string>{}(boot_));
  Instant next = clock_.Now();
  for (;;) {
    co_await Beat();
    next = std::max(next + kBeat, clock_.Now() + kBeat / 4);
    const auto jitter =
        Micros(static_cast<std::int64_t>(random.Below(kBeat.count() / 10)));
    co_await Pause(next + jitter - clock_.Now());
  }
}

boost::asio::awaitable<void> FleetAgent::Beat() {
  demand_.EndPeriod(clock_.Now());
  co_await ReadFleet();
  if (fleet_read_) {
    co_await WriteFleet();
  }
  const Micros silent = boot_clock_.Now() - committed_at_;
  if (committed_at_ != Instant{} && silent > kShareKept &&
      quotas_.share() > 0) {
    Log(LogLevel::kWarn, "share_dropped",
        {{"silent_ms", std::to_string(silent / 1ms)}});
    quotas_.SetShare(0, clock_.Now());
  }
  for (const std::string& id : target_feed_.Expire(clock_.Now())) {
    TargetFeed::Changes changes;
    changes.removed.push_back(id);
    OnTargetChanges(changes);
  }
}

boost::asio::awaitable<void> FleetAgent::ReadFleet() {
  const Instant asked_at = clock_.Now();
  const Result<platform::RowSet> read =
      co_await store_.Read(std::string(platform::kFleetTable), std::string(),
                           std::string(), std::string(), asked_at + kCallTime);
  if (!read) {
    co_return;
  }
  read_at_ = clock_.Now();
  OnFleetRows(read.value());
  fleet_read_ = true;
}

void FleetAgent::OnFleetRows(const platform::RowSet& rows) {
  std::vector<Member> members;
  bool lease_seen = false;
  for (const platform::StoredRow& row : rows.rows) {
    if (row.at.key.starts_with(kMemberPrefix)) {
      auto member = DecodeMember(row.value);
      if (member) {
        members.push_back(std::move(member.value()));
      } else {
        Log(LogLevel::kWarn, "row_unreadable",
            {{"key", row.at.key}, {"error", member.error().Line()}});
      }
    } else if (row.at.key == kLeaseKey) {
      auto lease = DecodeLeaderLease(row.value);
      if (lease) {
        lease.value().row_version = row.version;
        leadership_.OnRead(&lease.value(), boot_clock_.Now());
        lease_seen = true;
      }
    } else if (row.at.key == kSharesKey && row.version > shares_row_version_) {
      auto shares = DecodeShares(row.value);
      if (shares && shares.value().epoch >= shares_.epoch) {
        shares_ = std::move(shares.value());
        shares_row_version_ = row.version;
      }
    }
  }
  if (!lease_seen) {
    leadership_.OnRead(nullptr, boot_clock_.Now());
  }
  for (const Member& member : members) {
    if (member.name != settings_.name) {
      crashes_.OnPeerCounts(member.name, member.crashes);
    }
  }
  members_.OnRead(std::move(members), clock_.Now());
  retries_.SetInstances(static_cast<int>(members_.Live(read_at_).size()));
  ApplyShares();
}

// Takes the own part from the table. It is lowered here before the row of the
// instance says so, and the leader raises others only after that.
void FleetAgent::ApplyShares() {
  const ShareEntry* own = shares_.Find(settings_.name);
  const double share = own == nullptr ? 0 : own->share;
  if (shares_applied_ == shares_.epoch && quotas_.share() == share) {
    return;
  }
  quotas_.SetShare(share, clock_.Now());
  shares_applied_ = shares_.epoch;
  Log(LogLevel::kInfo, "share_taken",
      {{"epoch", std::to_string(shares_.epoch)},
       {"share", std::to_string(share)}});
}

boost::asio::awaitable<bool> FleetAgent::WriteFleet() {
  ++beat_;
  platform::RowTransaction write;
  const Member own = OwnRow();
  write.puts.push_back(
      {FleetKey(std::string(kMemberPrefix) + own.name), EncodeMember(own)});
  const Instant sent_at = boot_clock_.Now();
  LeaseStep step = leadership_.Next(sent_at);
  LeaderLease proposal = leadership_.Proposal(step);
  if (state_ == MemberState::kDraining || state_ == MemberState::kGone) {
    step = leadership_.Holds() ? LeaseStep::kRenew : LeaseStep::kNone;
    proposal.released = true;
  }
  if (step != LeaseStep::kNone) {
    write.conditions.push_back(
        {FleetKey(kLeaseKey), leadership_.lease().row_version});
    write.puts.push_back({FleetKey(kLeaseKey), EncodeLeaderLease(proposal)});
  }
  ShareTable planned = shares_;
  if (leadership_.Holds()) {
    planned = PlanShares(shares_, members_, read_at_);
    if (planned.epoch != shares_.epoch) {
      if (step == LeaseStep::kNone) {
        write.conditions.push_back(
            {FleetKey(kLeaseKey), leadership_.lease().row_version});
      }
      write.conditions.push_back({FleetKey(kSharesKey), shares_row_version_});
      write.puts.push_back({FleetKey(kSharesKey), EncodeShares(planned)});
    }
  }
  const Result<platform::RowCommit> commit =
      co_await store_.Commit(std::move(write), clock_.Now() + kCallTime);
  if (!commit || !commit.value().applied) {
    co_return false;
  }
  committed_at_ = sent_at;
  members_.OnOwn(own, clock_.Now());
  if (step != LeaseStep::kNone) {
    const bool acquired = step == LeaseStep::kAcquire;
    proposal.row_version = commit.value().version;
    leadership_.OnApplied(proposal, sent_at);
    if (acquired) {
      Log(LogLevel::kInfo, "lease_won",
          {{"term", std::to_string(proposal.term)}});
      desk_.OnTerm(clock_.Now());
    }
  }
  if (planned.epoch != shares_.epoch) {
    shares_ = std::move(planned);
    shares_row_version_ = commit.value().version;
    ApplyShares();
  }
  co_return true;
}

void FleetAgent::OnConfigRows(const platform::RowSet& rows) {
  for (const platform::StoredRow& row : rows.rows) {
    if (row.at.key != platform::kConfigKey || row.dropped) {
      continue;
    }
    auto config = platform::DecodeConfig(row.value);
    if (!config) {
      Log(LogLevel::kError, "config_unreadable",
          {{"error", config.error().Line()}});
      continue;
    }
    const std::int64_t version = config.value().version;
    if (config_ != nullptr && version <= config_->version) {
      Log(LogLevel::kInfo, "config_older_ignored",
          {{"version", std::to_string(version)},
           {"in_force", std::to_string(config_->version)}});
      continue;
    }
    config_ = std::make_shared<const ServingConfig>(std::move(config.value()));
    quotas_.OnConfig(*config_, clock_.Now());
    Log(LogLevel::kInfo, "config_taken",
        {{"version", std::to_string(version)},
         {"routes", std::to_string(config_->routes.size())},
         {"workspaces", std::to_string(config_->workspaces.size())}});
  }
}

std::vector<TargetRow> FleetAgent::DecodeTargets(
    const platform::RowSet& rows) const {
  std::vector<TargetRow> targets;
  for (const platform::StoredRow& row : rows.rows) {
    TargetRow target;
    target.id = row.at.key;
    target.version = row.version;
    if (!row.dropped) {
      auto entry = platform::DecodeTarget(row.at.key, row.value);
      target.readable = static_cast<bool>(entry);
      if (entry) {
        target.entry = std::move(entry.value());
      } else {
        Log(LogLevel::kWarn, "target_row_skipped",
            {{"target", row.at.key}, {"error", entry.error().Line()}});
      }
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

void FleetAgent::OnTargetChanges(const TargetFeed::Changes& changes) {
  for (const TargetEntry& entry : changes.updated) {
    if (!board_.Update(entry)) {
      continue;
    }
    std::string models;
    for (const HeldModel& model : entry.models) {
      models += models.empty() ? "" : ",";
      models += model.name;
    }
    Log(LogLevel::kInfo, "target",
        {{"id", entry.id},
         {"service", entry.service},
         {"state", entry.state == TargetState::kReady ? "ready" : "draining"},
         {"address", ToText(entry.address)},
         {"failure_domain", entry.failure_domain},
         {"models", models}});
  }
  for (const std::string& id : changes.removed) {
    if (const TargetPtr target = board_.Find(id)) {
      links_.Drop(*target);
    }
    board_.Remove(id);
    Log(LogLevel::kInfo, "target_gone", {{"id", id}});
  }
}

boost::asio::awaitable<void> FleetAgent::RunPlacement() {
  for (;;) {
    co_await Pause(kPlanPace);
    if (config_ != nullptr && leadership_.MayOrder(boot_clock_.Now())) {
      PlaceModels();
    }
  }
}

void FleetAgent::PlaceModels() {
  for (const Service& service : config_->services) {
    if (service.engine) {
      PlaceService(service);
    }
  }
}

void FleetAgent::PlaceService(const Service& service) {
  const auto move =
      PlanMove(*service.engine, desk_.Views(service), LoadsOf(service),
               desk_.LoadsFree(*service.engine));
  if (!move) {
    return;
  }
  std::string unload;
  for (const std::string& model : move->unload) {
    unload += unload.empty() ? "" : ",";
    unload += model;
  }
  Log(LogLevel::kInfo, "move_planned",
      {{"target", move->engine},
       {"load", move->load},
       {"unload", unload},
       {"from_store", move->from_store ? "yes" : "no"}});
  Spawn(desk_.RunMove(service, *move), "move");
}

// Demand of the fleet for the models of a service, adapters counted in.
ModelLoads FleetAgent::LoadsOf(const Service& service) const {
  ModelLoads loads;
  const auto add = [&](const ModelKey& key, const Demand& demand) {
    if (key.service != service.name) {
      return;
    }
    Demand& sum = loads[key.model.substr(0, key.model.find('/'))];
    sum.requests += demand.requests;
    sum.tokens += demand.tokens;
    sum.unmet += demand.unmet;
  };
  for (const MemberView& view : members_.Live(read_at_)) {
    if (view.member.name == settings_.name) {
      continue;
    }
    for (const ModelDemand& item : view.member.demand) {
      add(item.key, item.demand);
    }
  }
  for (const auto& [key, demand] : demand_.averages()) {
    add(key, demand);
  }
  return loads;
}

}  // namespace jackdaw::serving
