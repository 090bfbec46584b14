#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "budget/departure_tracker.h"
#include "budget/share_row.h"
#include "core/time.h"
#include "membership/instance_entry.h"
#include "store/table.h"

namespace jackdaw {

/// The shares of one instance as they stand in the table service, changed in
/// rounds of one read and one transaction. The transaction renews the lease,
/// takes transfers from others, stores those to others, and takes back the
/// shares of instances that are gone. What may be used is lowered before the
/// write and raised after its success only, so that a lost answer never
/// counts a unit twice.
class ShareSynchronizer {
 public:
  /// Units of the floor part wanted for a workspace.
  using FloorUnits = std::function<std::int64_t(std::string_view workspace)>;

  ShareSynchronizer(std::string name, std::uint64_t incarnation);

  /// Takes over the platform's list of instances.
  void OnInstances(Instant now, const std::vector<InstanceEntry>& instances);
  /// The platform answered with the same list again.
  void OnUnchangedInstances(Instant now) { departures_.OnUnchangedList(now); }
  /// Units of this workspace may be made here, if nobody made them yet.
  void EnableMint(std::string_view workspace) { mintable_.emplace(workspace); }
  void DisableMint(std::string_view workspace) {
    mintable_.erase(std::string(workspace));
  }

  /// Lowers what may be used and keeps the units for the next round.
  /// @param units at most those held
  void Transfer(std::string_view peer,
                std::string_view workspace,
                std::int64_t units);

  ReadQuery BeginRound(Instant now);
  Transaction OnRows(Instant now,
                     const std::vector<Row>& rows,
                     const FloorUnits& floor_units);
  /// @param commit empty when the outcome is not known
  void OnCommit(const std::optional<Commit>& commit);

  /// Whether no units are held and none wait to be stored as given away.
  bool IsEmpty() const;

  /// What may be used, and until when its flexible parts.
  const Shares& held() const { return held_; }
  Instant lease_until() const { return lease_until_; }
  /// Ends the use of every share until the row has been renewed, for a holder
  /// that was away so long that others may have taken its row.
  void RevokeHeld() { held_.clear(); }
  /// Whether the row was lost to others since the last call.
  bool TakeRowLost() { return std::exchange(row_lost_, false); }

 private:
  // Units for each peer and workspace.
  using Transfers = std::map<std::string,
                             std::map<std::string, std::int64_t, std::less<>>,
                             std::less<>>;

  // A write whose outcome is not known.
  struct Attempt {
    std::uint64_t sequence = 0;
    Transfers transfers;
  };

  // A row of another instance and when it was first seen at its version.
  struct WatchedRow {
    std::uint64_t version = 0;
    Instant seen_at{};
  };

  // The round's transaction while it is put together.
  struct Draft {
    Transaction transaction;
    ShareRow row;
  };

  void ReadOwnRow(const std::vector<Row>& rows, Draft& draft);
  void ResolveAttempts(std::uint64_t sequence);
  // Adds the units of stored transfers. @returns whether there were any
  static bool ReceiveTransfers(std::string_view prefix,
                               const std::vector<Row>& rows,
                               Draft& draft);
  void MintUnits(const std::vector<Row>& rows, Draft& draft);
  void Reclaim(Instant now,
               std::string_view name,
               const std::vector<Row>& rows,
               Draft& draft);
  void StoreTransfers(Draft& draft);
  void LowerHeld(const Shares& to);

  std::string name_;
  std::uint64_t incarnation_;
  DepartureTracker departures_;
  std::set<std::string, std::less<>> mintable_;
  std::vector<std::string> watched_names_;
  std::map<std::string, WatchedRow, std::less<>> watched_;
  Transfers outgoing_;
  std::vector<Attempt> attempts_;
  std::uint64_t round_ = 0;
  std::uint64_t sequence_ = 0;
  bool had_row_ = false;
  bool superseded_ = false;
  bool row_lost_ = false;
  Shares next_held_;
  Shares held_;
  Instant sent_at_{};
  Instant lease_until_{};
  Instant next_scan_at_{};
};

}  // namespace jackdaw
