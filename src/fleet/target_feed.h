#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "fleet/departed_targets.h"
#include "fleet/target_row.h"

namespace jackdaw::serving {

/// Derives the set of registered targets from the rows of the store. An entry
/// that is missing right after an outage of the store may have expired because
/// the target could not renew it. Such a target is kept until the time has
/// passed in which a live one registers again. An instance cannot tell whether
/// the store was out for all or only for itself, so that time counts from the
/// end of the outage and not from the removal of the entry. A target that has
/// left does not come back by the older entry of a store that lost its last
/// writes.
class TargetFeed {
 public:
  /// Changes to the set of targets that result from a read.
  struct Changes {
    std::vector<TargetRegistration> updated;
    std::vector<std::string> removed;
  };

  /// The store answers again after an outage.
  /// @param refused_at sending time of the last call that it did not serve; the
  /// outage ended after it, perhaps long before `now`
  void OnStoreReconnected(Instant refused_at, Instant now);
  /// The store came back from an older copy: its versions begin anew, and what
  /// targets wrote since the copy is written again. The next snapshot is the
  /// first of the new epoch.
  void OnStoreRestored(Instant now);
  /// Applies all rows of the table, as of one version.
  Changes OnSnapshot(const std::vector<TargetRow>& rows, Instant now);
  /// Applies rows that changed.
  Changes OnChanges(const std::vector<TargetRow>& rows, Instant now);
  /// Ends the times of grace: removes targets that were kept after an outage
  /// and have not registered again, and takes entries in doubt that the store
  /// still has.
  Changes Expire(Instant now);
  /// Returns the time at which Expire has something to do next, if there is
  /// one.
  std::optional<Instant> NextExpiry() const;

 private:
  struct KnownTarget {
    /// Version of the row in this epoch of the store; 0 before it was read.
    std::int64_t version = 0;
    /// Highest version of the row in any epoch.
    std::int64_t highest_version = 0;
    std::int64_t born_ms = 0;
    bool complete = true;
  };
  struct EntryInDoubt {
    TargetRow row;
    Instant until{};
  };

  bool IsKnown(const TargetRow& row) const;
  void Apply(const TargetRow& row, Instant now, Changes& changes);
  void Accept(const TargetRow& row, TargetState state, Changes& changes);
  void OnMissing(const std::string& id, Instant now, Changes& changes);
  void Remove(const std::string& id, Instant now, Changes& changes);

  /// Time until which targets are kept whose entries may have expired in the
  /// last outage of the store.
  Instant keep_until_{};
  /// No snapshot was read since the store came back from an older copy.
  bool awaits_first_snapshot_ = false;
  std::map<std::string, KnownTarget> known_;
  /// Time at which each target without an entry is removed.
  std::map<std::string, Instant> missing_until_;
  DepartedTargets departed_;
  std::map<std::string, EntryInDoubt> in_doubt_;
};

}  // namespace jackdaw::serving
