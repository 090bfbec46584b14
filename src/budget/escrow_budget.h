#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "budget/local_share.h"
#include "budget/messages.h"
#include "budget/share_row.h"
#include "budget/share_synchronizer.h"
#include "budget/spend_result.h"
#include "config/fleet_config.h"

namespace jackdaw {

/// What may be varied of the escrow scheme.
struct EscrowPolicy {
  /// Demand that floor parts cover, as a multiple; 0 for shares under leases
  /// only.
  double floor_headroom = 1.35;
  /// Whether shares follow demand; otherwise all stay with the homes.
  bool shares_follow_demand = true;
  /// Most instances that keep unused units of one workspace.
  std::size_t max_homes = 32;
  /// Time from an answer to the next question.
  Micros ask_interval = 100ms;
};

/// Budget scheme that holds each workspace's budget in escrow: every instance
/// spends from its share without a message. Where the share does not do, a
/// peer spends in its stead; shares themselves follow demand through the
/// table service, lowered at the giver before they are raised at the taker.
class EscrowBudget {
 public:
  /// @param name name of this instance @param incarnation its incarnation
  EscrowBudget(std::string name,
               std::uint64_t incarnation,
               EscrowPolicy policy = {});

  /// Takes over rates and bursts of a configuration.
  void OnConfig(Instant now, const FleetConfig& config);
  /// The configuration in force was the newest one until this moment or
  /// later. @param until deadline for acting on it without another word
  void OnConfirmed(Instant now, Instant until);
  /// Takes over the platform's list of instances.
  /// @param draining whether this instance is to hand its shares over
  void OnInstances(Instant now,
                   const std::vector<InstanceEntry>& instances,
                   bool draining);

  /// Counts tokens that a caller wants, granted or not; once a request.
  void RecordDemand(Instant now,
                    std::string_view workspace,
                    std::int64_t tokens);
  SpendResult Spend(Instant now,
                    std::string_view workspace,
                    std::int64_t tokens);
  /// Estimate of when `tokens` could have been spent, those of waiting
  /// requests among them; Instant::max() for never.
  Instant ReadyAt(Instant now, std::string_view workspace, std::int64_t tokens);
  /// Asks a peer on behalf of waiting requests, unless one was asked lately.
  /// @param total tokens that wait @param first those of the first request
  void RequestTokens(Instant now,
                     std::string_view workspace,
                     std::int64_t total,
                     std::int64_t first);
  void Refund(Instant now, std::string_view workspace, std::int64_t tokens);

  void OnMessage(Instant now, std::string_view peer, const BudgetAsk& ask);
  /// @returns whether tokens came, so that waiting requests may go on
  bool OnMessage(Instant now, std::string_view peer, const BudgetGrant& grant);

  /// Puts what waiting requests left of a peer's tokens in the bucket, as far
  /// as it has room.
  void DepositUnusedGrants(Instant now);

  /// Messages to send; emptied by the call.
  std::vector<BudgetMessage> TakeMessages();

  /// Starts a round with the table service and asks for shares.
  /// @returns what to read
  ReadQuery BeginRound(Instant now);
  /// @returns the write of the round, empty when there is none
  Transaction OnRows(Instant now, const std::vector<Row>& rows);
  /// @param commit empty when the outcome is not known
  /// @returns whether units came, so that waiting requests may go on
  bool OnCommit(Instant now, const std::optional<Commit>& commit);

  /// Whether nothing is left to hand over, or nobody is there to take it.
  bool IsHandedOver() const;
  /// Units of a workspace that may be spent from now.
  std::int64_t UsableUnits(Instant now, std::string_view workspace) const;
  /// Share of a workspace; zero when there is none.
  Share ShareOf(std::string_view workspace) const;
  /// Units held by this instance and not in its row yet, for a sum over all.
  const ShareSynchronizer& shares() const { return shares_; }

 private:
  struct Budget {
    LocalShare local;
    std::vector<std::string> homes;
    std::int64_t request_tokens = 0;
    bool is_home = false;
    // Tokens handed over by a peer, to be used at once.
    std::int64_t granted_tokens = 0;
    std::uint64_t last_ask_id = 0;
    std::size_t next_home = 0;
    int denials = 0;
    Instant ask_deadline{};
    Instant next_ask_at{};
    Instant peer_ready_at{};
  };

  Budget* Find(std::string_view workspace);
  void SetHomes(std::string_view workspace, Budget& budget);
  std::int64_t UnitsNeeded(Instant now, Budget& budget);
  std::int64_t FloorNeeded(Instant now, Budget& budget);
  static Micros AccrualTime(const Budget& budget, std::int64_t tokens);
  static void OnDenied(Instant now, Budget& budget, Micros ready_in);
  const std::string* NextHome(Budget& budget);
  void RequestShare(Instant now, const std::string& workspace, Budget& budget);
  void TransferShare(Instant now,
                     std::string_view peer,
                     const BudgetAsk& ask,
                     Budget& budget);
  void TransferSurplus(const std::string& workspace,
                       std::int64_t needed,
                       Budget& budget);
  void TransferToHome(const std::string& workspace, Budget& budget);
  void UpdateLocalShares(Instant now);

  std::string name_;
  EscrowPolicy policy_;
  std::map<std::string, Budget, std::less<>> budgets_;
  std::vector<InstanceEntry> instances_;
  bool draining_ = false;
  Instant confirmed_until_{};
  std::uint64_t next_ask_id_ = 1;
  std::vector<BudgetMessage> outbox_;
  ShareSynchronizer shares_;
};

}  // namespace jackdaw
