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

/// Parameters of the escrow scheme.
struct EscrowPolicy {
  /// Size of the floor parts, which remain usable without a lease, relative to
  /// the steady demand; with 0, all units expire with the lease.
  double floor_headroom = 1.35;
  /// Whether shares follow demand; otherwise all units stay with the homes.
  bool shares_follow_demand = true;
  /// Maximum number of homes of one workspace; not read by the scheme.
  std::size_t max_homes = 32;
  /// Minimum time from a grant to the next request for tokens.
  Micros ask_interval = 100ms;
};

/// Budget scheme after the escrow method: each workspace's budget is divided
/// into kTotalUnits units, and every instance spends from the units it holds,
/// its share, without a message. If the share does not suffice, a peer spends
/// on its behalf. The shares follow demand: units are transferred through the
/// table service, and are removed from the sender before they are added at the
/// receiver. Units that no demand uses stay with the homes of the workspace,
/// instances chosen by hash (see homes.h).
class EscrowBudget {
 public:
  /// @param name name of this instance
  EscrowBudget(std::string name,
               std::uint64_t incarnation,
               EscrowPolicy policy = {});

  /// Applies the rates and bursts of a configuration.
  void OnConfig(Instant now, const FleetConfig& config);
  /// Extends the time for which the configuration in force may be acted on. If
  /// the previous deadline passed more than kRowTrustTime ago, revokes all
  /// shares until the row has been renewed.
  /// @param until deadline unless the configuration is confirmed again
  void OnConfirmed(Instant now, Instant until);
  /// Applies the platform's list of instances.
  /// @param draining whether this instance must hand over its shares
  void OnInstances(Instant now,
                   const std::vector<InstanceEntry>& instances,
                   bool draining);

  /// Counts tokens that a caller requests, granted or not, as demand; called
  /// once per request.
  void RecordDemand(Instant now,
                    std::string_view workspace,
                    std::int64_t tokens);
  /// Takes tokens from the local share and from tokens granted by a peer.
  SpendResult Spend(Instant now,
                    std::string_view workspace,
                    std::int64_t tokens);
  /// Returns the estimated time at which `tokens`, which include those of
  /// waiting requests, can be spent; Instant::max() for never.
  Instant ReadyAt(Instant now, std::string_view workspace, std::int64_t tokens);
  /// Requests tokens from a peer on behalf of waiting requests, unless one
  /// is pending, or ask_interval since the last grant or the backoff since the
  /// last denial has not passed.
  /// @param total tokens of all waiting requests
  /// @param first tokens of the first waiting request
  void RequestTokens(Instant now,
                     std::string_view workspace,
                     std::int64_t total,
                     std::int64_t first);
  /// Credits tokens that were charged and not used.
  void Refund(Instant now, std::string_view workspace, std::int64_t tokens);

  /// Grants tokens to a peer and transfers part of the share, as far as
  /// possible.
  void OnMessage(Instant now, std::string_view peer, const BudgetAsk& ask);
  /// @returns whether tokens were granted, so that waiting requests can be
  /// retried
  bool OnMessage(Instant now, std::string_view peer, const BudgetGrant& grant);

  /// Adds the granted tokens that waiting requests did not use to the bucket,
  /// up to its capacity.
  void DepositUnusedGrants(Instant now);

  /// Returns the messages to send and empties the outbox.
  std::vector<BudgetMessage> TakeMessages();

  /// Starts a round with the table service; requests units from peers and
  /// transfers surplus units. @returns the rows to read
  ReadQuery BeginRound(Instant now);
  /// @returns the transaction of the round; empty if there is nothing to write
  Transaction OnRows(Instant now, const std::vector<Row>& rows);
  /// @param commit empty if the outcome is not known
  /// @returns whether the write took effect, so that units may have arrived and
  /// waiting requests can be retried
  bool OnCommit(Instant now, const std::optional<Commit>& commit);

  /// Returns whether draining need not wait for the shares: no units are left
  /// to hand over, or no live instance can receive them.
  bool IsHandOverDone() const;
  /// Returns the units of a workspace that are usable now: without the flexible
  /// part once the lease has expired. Ignores the deadline of the
  /// configuration.
  std::int64_t UsableUnits(Instant now, std::string_view workspace) const;
  /// Returns the share of a workspace; zero if there is none.
  Share ShareOf(std::string_view workspace) const;
  /// Returns the synchronizer, for checks that sum the usable units over all
  /// instances: they can differ from those in the rows while a write is in
  /// flight.
  const ShareSynchronizer& shares() const { return shares_; }

 private:
  // State of one workspace's budget.
  struct Budget {
    LocalShare local;
    std::vector<std::string> homes;
    // Tokens of a typical request.
    std::int64_t request_tokens = 0;
    bool is_home = false;
    // Tokens granted by a peer that waiting requests may use at once.
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
