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

/// Synchronizes the shares of one instance with its row in the table service,
/// in rounds of one read and one transaction. The transaction renews the lease,
/// receives transfers from other instances, stores transfers to them, and
/// reclaims the shares of instances that are gone and those whose lease has
/// expired. The usable units are lowered before the write and raised only after
/// its success, so that no unit is usable at two instances if a response is
/// lost.
class ShareSynchronizer {
 public:
  /// Returns the units that a workspace needs in the floor part.
  using FloorUnits = std::function<std::int64_t(std::string_view workspace)>;

  ShareSynchronizer(std::string name, std::uint64_t incarnation);

  /// Applies the platform's list of instances.
  void OnInstances(Instant now, const std::vector<InstanceEntry>& instances);
  /// Records that the platform returned the same list again.
  void OnUnchangedInstances(Instant now) { departures_.OnUnchangedList(now); }
  /// Lets this instance create the units of a workspace if no instance has done
  /// so yet.
  void EnableMint(std::string_view workspace) { mintable_.emplace(workspace); }
  void DisableMint(std::string_view workspace) {
    mintable_.erase(std::string(workspace));
  }

  /// Transfers units to a peer: lowers the usable units now and stores the
  /// transfer in the next round. @param units at most those held
  void Transfer(std::string_view peer,
                std::string_view workspace,
                std::int64_t units);

  /// Starts a round. @returns the rows to read
  ReadQuery BeginRound(Instant now);
  /// @returns the transaction of the round; empty if the own row is malformed
  /// or belongs to a newer incarnation of this instance
  Transaction OnRows(Instant now,
                     const std::vector<Row>& rows,
                     const FloorUnits& floor_units);
  /// @param commit empty if the outcome is not known
  void OnCommit(const std::optional<Commit>& commit);

  /// Returns whether no units are held and no transfer has yet to be stored.
  bool IsEmpty() const;

  /// Returns the usable shares.
  const Shares& held() const { return held_; }
  /// Returns the deadline for using the flexible parts.
  Instant lease_until() const { return lease_until_; }
  /// Stops the use of all shares until the row has been renewed. For an
  /// instance that was paused for so long that peers may have reclaimed its
  /// row.
  void RevokeHeld() { held_.clear(); }
  /// Returns whether other instances have reclaimed the row since the last
  /// call.
  bool TakeRowLost() { return std::exchange(row_lost_, false); }

 private:
  // Units by peer and workspace.
  using Transfers = std::map<std::string,
                             std::map<std::string, std::int64_t, std::less<>>,
                             std::less<>>;

  // A write whose outcome is not known yet.
  struct Attempt {
    std::uint64_t sequence = 0;
    Transfers transfers;
  };

  // A row of another instance and when it was first seen at its version.
  struct WatchedRow {
    std::uint64_t version = 0;
    Instant seen_at{};
  };

  // The transaction of a round under construction, and the new own row.
  struct Draft {
    Transaction transaction;
    ShareRow row;
  };

  void ReadOwnRow(const std::vector<Row>& rows, Draft& draft);
  void ResolveAttempts(std::uint64_t sequence);
  // Adds the units of stored transfers to the own row and deletes their rows.
  // @returns whether there were any
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
  // Whether the own row is malformed or belongs to a newer incarnation.
  bool superseded_ = false;
  bool row_lost_ = false;
  // Usable shares once the write in flight has succeeded.
  Shares next_held_;
  Shares held_;
  Instant sent_at_{};
  Instant lease_until_{};
  Instant next_scan_at_{};
};

}  // namespace jackdaw
