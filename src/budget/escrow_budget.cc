#include "budget/escrow_budget.h"

#include <algorithm>
#include <cmath>

#include "budget/homes.h"
#include "budget/timing.h"

namespace jackdaw {
namespace {

constexpr double kHeadroom = 1.3;  // over the demand, for its fluctuations
// A home needs at least an equal part of all units divided by this.
constexpr std::int64_t kHomeReserveDivisor = 4;
constexpr std::int64_t kUsualPromptTokens = 256;  // assumed for each request
// Time from the first denial to the next request, doubled with each denial.
constexpr Micros kDenialBackoff = 200ms;
constexpr int kMaxDenials = 4;  // denials counted for the backoff
// Denials from which the peers' estimate counts; before, a home may still
// grant.
constexpr int kMinDenialsForEstimate = 3;
constexpr Micros kUnconfirmedRetryTime = 1s;  // wait reported if unconfirmed
constexpr Micros kMaxEstimate = 60s;      // upper bound of an estimated wait
constexpr Micros kPeerAnswerTime = 30ms;  // expected response time of a peer
// A transfer below the units held divided by this is not worth its cost.
constexpr std::int64_t kMinTransferDivisor = 6;
// After so long past the deadline of the configuration, peers may take this
// instance for gone and reclaim its row. Half the delay leaves a margin.
constexpr Micros kRowTrustTime = kDepartureDelay / 2;

bool IsSame(const InstanceEntry& a, const InstanceEntry& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.name == b.name;
}

}  // namespace

EscrowBudget::EscrowBudget(std::string name,
                           std::uint64_t incarnation,
                           EscrowPolicy policy)
    : name_(std::move(name)), policy_(policy), shares_(name_, incarnation) {}

EscrowBudget::Budget* EscrowBudget::Find(std::string_view workspace) {
  const auto found = budgets_.find(workspace);
  return found == budgets_.end() ? nullptr : &found->second;
}

void EscrowBudget::OnConfig(Instant now, const FleetConfig& config) {
  const std::int64_t now_ms = ToMillis(now);
  std::set<std::string, std::less<>> configured;
  for (const auto& workspace : config.workspaces) {
    const std::string scope = "workspace/" + workspace.name;
    const auto setting = [&](std::string_view name) {
      return SettingFor(config, name, scope, now_ms);
    };
    Budget& budget = budgets_[workspace.name];
    budget.local.SetBudget(now, setting("rate_tokens_per_s"),
                           setting("burst_tokens"));
    budget.request_tokens = setting("max_output_tokens") + kUsualPromptTokens;
    configured.insert(workspace.name);
    SetHomes(workspace.name, budget);
  }
  for (auto& [name, budget] : budgets_) {
    if (!configured.contains(name)) {
      budget.local.SetBudget(now, 0, 0);
    }
  }
  OnConfirmed(now, confirmed_until_);
  UpdateLocalShares(now);
}

void EscrowBudget::OnConfirmed(Instant now, Instant until) {
  if (confirmed_until_ != Instant{} && now - confirmed_until_ > kRowTrustTime) {
    shares_.RevokeHeld();
    UpdateLocalShares(now);
  }
  confirmed_until_ = std::max(confirmed_until_, until);
  for (auto& [name, budget] : budgets_) {
    budget.local.SetConfirmedUntil(now, confirmed_until_);
  }
}

void EscrowBudget::OnInstances(Instant now,
                               const std::vector<InstanceEntry>& instances,
                               bool draining) {
  if (draining == draining_ &&
      std::ranges::equal(instances, instances_, IsSame)) {
    shares_.OnUnchangedInstances(now);
    return;
  }
  shares_.OnInstances(now, instances);
  instances_ = instances;
  draining_ = draining;
  for (auto& [workspace, budget] : budgets_) {
    SetHomes(workspace, budget);
  }
}

void EscrowBudget::SetHomes(std::string_view workspace, Budget& budget) {
  budget.homes = HomesOf(workspace, instances_,
                         HomeCount(budget.local.burst(), budget.request_tokens,
                                   instances_.size()));
  const auto self = std::find(budget.homes.begin(), budget.homes.end(), name_);
  budget.is_home = self != budget.homes.end() && !draining_;
  // Only the first home creates the units, so that few instances attempt it.
  if (budget.is_home && self == budget.homes.begin()) {
    shares_.EnableMint(workspace);
  } else {
    shares_.DisableMint(workspace);
  }
}

SpendResult EscrowBudget::Spend(Instant now,
                                std::string_view workspace,
                                std::int64_t tokens) {
  Budget* budget = Find(workspace);
  if (budget == nullptr || tokens > budget->local.burst()) {
    return {false, Instant::max()};
  }
  const std::int64_t granted_tokens = std::min(budget->granted_tokens, tokens);
  if (budget->local.TrySpend(now, tokens - granted_tokens, granted_tokens)) {
    budget->granted_tokens -= granted_tokens;
    return {true, now};
  }
  return {false, ReadyAt(now, workspace, tokens)};
}

void EscrowBudget::RecordDemand(Instant now,
                                std::string_view workspace,
                                std::int64_t tokens) {
  if (Budget* budget = Find(workspace)) {
    budget->local.AddDemand(now, tokens);
  }
}

// Time in which the whole budget accrues what exceeds one typical request.
Micros EscrowBudget::AccrualTime(const Budget& budget, std::int64_t tokens) {
  const std::int64_t rate = std::max<std::int64_t>(1, budget.local.rate());
  return std::min<Micros>(
      kMaxEstimate,
      Micros(std::max<std::int64_t>(0, tokens - budget.request_tokens) *
             1'000'000 / rate));
}

Instant EscrowBudget::ReadyAt(Instant now,
                              std::string_view workspace,
                              std::int64_t tokens) {
  Budget* budget = Find(workspace);
  if (budget == nullptr) {
    return Instant::max();
  }
  const std::int64_t needed =
      std::max<std::int64_t>(0, tokens - budget->granted_tokens);
  Instant local = budget->local.ReadyAt(now, needed);
  const bool fits =
      budget->local.Capacity(now) >= std::min(needed, budget->request_tokens);
  if (!fits) {
    local = Instant::max();
  }
  const bool denied = budget->denials >= kMinDenialsForEstimate ||
                      budget->denials + 1 >= std::ssize(budget->homes);
  const Instant peer = std::max(now + kPeerAnswerTime,
                                denied ? budget->peer_ready_at : Instant{}) +
                       AccrualTime(*budget, needed);
  return now >= confirmed_until_ ? now + kUnconfirmedRetryTime
                                 : std::min(local, peer);
}

void EscrowBudget::RequestTokens(Instant now,
                                 std::string_view workspace,
                                 std::int64_t total,
                                 std::int64_t first) {
  Budget* budget = Find(workspace);
  if (budget == nullptr || now < budget->ask_deadline ||
      now < budget->next_ask_at || now >= confirmed_until_) {
    return;
  }
  const std::string* home = NextHome(*budget);
  if (home == nullptr) {
    return;
  }
  BudgetAsk ask;
  ask.workspace = std::string(workspace);
  ask.id = budget->last_ask_id = next_ask_id_++;
  const std::int64_t local_level = budget->local.Level(now);
  ask.tokens = std::max<std::int64_t>(0, total - local_level);
  ask.fewest = std::clamp<std::int64_t>(first - local_level, 0, ask.tokens);
  ask.units_needed = UnitsNeeded(now, *budget);
  ask.units_held = budget->local.share().Total();
  budget->ask_deadline = now + kGrantTimeout;
  outbox_.push_back({*home, std::move(ask)});
}

void EscrowBudget::Refund(Instant now,
                          std::string_view workspace,
                          std::int64_t tokens) {
  if (Budget* budget = Find(workspace)) {
    budget->local.Refund(now, tokens);
  }
}

const std::string* EscrowBudget::NextHome(Budget& budget) {
  for (std::size_t i = 0; i < budget.homes.size(); ++i) {
    const std::string& home =
        budget.homes[budget.next_home++ % budget.homes.size()];
    if (home != name_) {
      return &home;
    }
  }
  return nullptr;
}

// Returns the units held while the demand is new; else those that it needs, or
// 0 if they could not hold one request, as a home then spends on behalf of this
// instance. A home always needs a reserve.
std::int64_t EscrowBudget::UnitsNeeded(Instant now, Budget& budget) {
  const LocalShare& local = budget.local;
  if (draining_ || local.rate() == 0) {
    return 0;
  }
  if (local.DemandIsNew(now) && local.share().Total() > 0) {
    return local.share().Total();
  }
  const double part =
      budget.local.Demand(now) * kHeadroom / static_cast<double>(local.rate());
  std::int64_t units = static_cast<std::int64_t>(
      std::ceil(part * static_cast<double>(kTotalUnits)));
  if (!policy_.shares_follow_demand ||
      units * local.burst() / kTotalUnits < budget.request_tokens) {
    units = 0;
  }
  if (budget.is_home) {
    const auto homes = static_cast<std::int64_t>(budget.homes.size());
    units = std::max(units, kTotalUnits / (kHomeReserveDivisor * homes));
  }
  return units;
}

std::int64_t EscrowBudget::FloorNeeded(Instant now, Budget& budget) {
  const std::int64_t rate = budget.local.rate();
  if (rate == 0) {
    return 0;
  }
  return static_cast<std::int64_t>(
      std::ceil(budget.local.SteadyDemand(now) * policy_.floor_headroom /
                static_cast<double>(rate) * kTotalUnits));
}

void EscrowBudget::OnMessage(Instant now,
                             std::string_view peer,
                             const BudgetAsk& ask) {
  Budget* budget = Find(ask.workspace);
  if (budget == nullptr || peer == name_) {
    return;
  }
  BudgetGrant grant;
  grant.workspace = ask.workspace;
  grant.id = ask.id;
  if (ask.tokens > 0) {
    const std::int64_t level = budget->local.Level(now);
    const std::int64_t tokens = std::min(ask.tokens, level);
    if (tokens > 0 && tokens >= ask.fewest &&
        budget->local.TrySpendForPeer(now, tokens)) {
      grant.tokens = tokens;
      budget->local.AddDemand(now, tokens);
    } else {
      const Instant ready = budget->local.ReadyAt(now, ask.fewest);
      grant.ready_in = ready == Instant::max() ? Micros::max() : ready - now;
    }
    outbox_.push_back({std::string(peer), grant});
  }
  TransferShare(now, peer, ask, *budget);
}

// Evens out the units held per unit needed if this instance has more than 1.5
// times those of the peer: smaller differences are not worth a transfer's cost.
void EscrowBudget::TransferShare(Instant now,
                                 std::string_view peer,
                                 const BudgetAsk& ask,
                                 Budget& budget) {
  // With less than a third of the lease left, the store may be unreachable;
  // units transferred now would be usable by neither side.
  if (ask.units_needed <= 0 ||
      shares_.lease_until() - now < kShareLeaseTerm / 3) {
    return;
  }
  const std::int64_t needed = UnitsNeeded(now, budget);
  const std::int64_t held = shares_.held().contains(ask.workspace)
                                ? shares_.held().at(ask.workspace).Total()
                                : 0;
  const bool uneven = held * ask.units_needed * 2 >
                      ask.units_held * std::max<std::int64_t>(1, needed) * 3;
  const std::int64_t excess =
      (held * ask.units_needed - ask.units_held * needed) /
      (needed + ask.units_needed);
  const std::int64_t units = std::min({excess, budget.local.Spare(), held / 2});
  if (!uneven || units <= 0 || units < held / kMinTransferDivisor) {
    return;
  }
  shares_.Transfer(peer, ask.workspace, units);
  UpdateLocalShares(now);
}

bool EscrowBudget::OnMessage(Instant now,
                             std::string_view /*peer*/,
                             const BudgetGrant& grant) {
  Budget* budget = Find(grant.workspace);
  if (budget == nullptr || grant.id != budget->last_ask_id ||
      now >= budget->ask_deadline) {
    return false;
  }
  budget->ask_deadline = Instant{};
  if (grant.tokens > 0) {
    budget->denials = 0;
    budget->next_ask_at = now + policy_.ask_interval;
    budget->peer_ready_at = Instant{};
    budget->granted_tokens = grant.tokens;
    return true;
  }
  OnDenied(now, *budget, grant.ready_in);
  return false;
}

// Keeps the earliest estimate of the homes that denied. Micros::max() stands
// for a home whose own share is too small, which says nothing about the others.
void EscrowBudget::OnDenied(Instant now, Budget& budget, Micros ready_in) {
  if (ready_in == Micros::max()) {
    budget.next_ask_at = now + kDenialBackoff / 2;
    return;
  }
  const Instant ready = now + std::min(ready_in, kMaxEstimate);
  budget.peer_ready_at =
      budget.denials == 0 ? ready : std::min(budget.peer_ready_at, ready);
  budget.denials = std::min(budget.denials + 1, kMaxDenials);
  budget.next_ask_at = now + kDenialBackoff * (1 << budget.denials) / 2;
}

void EscrowBudget::DepositUnusedGrants(Instant now) {
  for (auto& [workspace, budget] : budgets_) {
    if (budget.granted_tokens > 0) {
      budget.local.AddGranted(now, std::exchange(budget.granted_tokens, 0));
    }
  }
}

std::vector<BudgetMessage> EscrowBudget::TakeMessages() {
  return std::exchange(outbox_, {});
}

}  // namespace jackdaw
