// Rounds of the escrow scheme with the table service, and the transfers of
// units that they cause.
#include <algorithm>

#include "budget/escrow_budget.h"
#include "budget/homes.h"
#include "budget/timing.h"

namespace jackdaw {
namespace {

// Units are requested once the units needed divided by this are missing: the
// tokens accrued on transferred units are lost, and nobody can use the units
// until they arrive.
constexpr std::int64_t kShortageDivisor = 4;
// Homes from which units are requested in each round while too few are held.
constexpr int kHomesAskedPerRound = 1;

}  // namespace

ReadQuery EscrowBudget::BeginRound(Instant now) {
  const bool lease_valid = now < shares_.lease_until();
  for (auto& [workspace, budget] : budgets_) {
    if (!lease_valid) {
      break;
    }
    const std::int64_t needed = UnitsNeeded(now, budget);
    const std::int64_t held = budget.local.share().Total();
    if (needed == 0 && held > 0 && !budget.is_home) {
      TransferToHome(workspace, budget);
    } else if (held < needed - needed / kShortageDivisor) {
      RequestShare(now, workspace, budget);
    } else if (budget.is_home) {
      TransferSurplus(workspace, needed, budget);
    }
  }
  UpdateLocalShares(now);
  return shares_.BeginRound(now);
}

void EscrowBudget::RequestShare(Instant now,
                                const std::string& workspace,
                                Budget& budget) {
  for (int i = 0; i < kHomesAskedPerRound; ++i) {
    const std::string* home = NextHome(budget);
    if (home == nullptr) {
      return;
    }
    BudgetAsk ask;
    ask.workspace = workspace;
    ask.units_needed = UnitsNeeded(now, budget);
    ask.units_held = budget.local.share().Total();
    outbox_.push_back({*home, std::move(ask)});
  }
}

// Distributes units over the other homes if this home holds more than twice its
// need and its equal part, as right after the units were created, and no
// capacity is reserved for tokens granted to peers.
void EscrowBudget::TransferSurplus(const std::string& workspace,
                                   std::int64_t needed,
                                   Budget& budget) {
  const std::int64_t equal_part =
      kTotalUnits / static_cast<std::int64_t>(budget.homes.size());
  const std::int64_t held = ShareOf(workspace).Total();
  if (held <= 2 * std::max(equal_part, needed) || budget.local.Spare() < held) {
    return;
  }
  const std::int64_t part =
      (held - std::max(equal_part, needed)) /
      std::max<std::int64_t>(1, std::ssize(budget.homes) - 1);
  for (const auto& home : budget.homes) {
    if (home != name_ && part > 0) {
      shares_.Transfer(home, workspace, part);
    }
  }
}

void EscrowBudget::TransferToHome(const std::string& workspace,
                                  Budget& budget) {
  const std::string* home = NextHome(budget);
  const auto held = shares_.held().find(workspace);
  if (home == nullptr || held == shares_.held().end()) {
    return;
  }
  const std::int64_t units =
      std::min(held->second.Total(), budget.local.Spare());
  if (units > 0) {
    shares_.Transfer(*home, workspace, units);
  }
}

Transaction EscrowBudget::OnRows(Instant now, const std::vector<Row>& rows) {
  Transaction transaction =
      shares_.OnRows(now, rows, [&](std::string_view workspace) {
        Budget* budget = Find(workspace);
        return budget == nullptr ? 0 : FloorNeeded(now, *budget);
      });
  if (shares_.TakeRowLost()) {
    for (auto& [workspace, budget] : budgets_) {
      budget.local.ForgetCharges(now);
    }
  }
  UpdateLocalShares(now);
  return transaction;
}

bool EscrowBudget::OnCommit(Instant now, const std::optional<Commit>& commit) {
  shares_.OnCommit(commit);
  UpdateLocalShares(now);
  return commit && commit->committed;
}

// Sets the usable units in the buckets.
void EscrowBudget::UpdateLocalShares(Instant now) {
  for (auto& [workspace, budget] : budgets_) {
    budget.local.SetShare(now, ShareOf(workspace), shares_.lease_until());
  }
}

bool EscrowBudget::IsHandOverDone() const {
  const bool has_recipient =
      std::ranges::any_of(instances_, [&](const InstanceEntry& instance) {
        return instance.state == InstanceState::kLive && instance.name != name_;
      });
  return !has_recipient || shares_.IsEmpty();
}

std::int64_t EscrowBudget::UsableUnits(Instant now,
                                       std::string_view workspace) const {
  const Share share = ShareOf(workspace);
  return share.floor + (now < shares_.lease_until() ? share.flexible : 0);
}

Share EscrowBudget::ShareOf(std::string_view workspace) const {
  const auto found = shares_.held().find(workspace);
  return found == shares_.held().end() ? Share{} : found->second;
}

}  // namespace jackdaw
