#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "serving/target_registration.h"

namespace jackdaw::serving {

/// A row of the table of targets. `readable` is false if the row was deleted or
/// is malformed; `entry` is then empty.
struct TargetRow {
  std::string id;
  std::int64_t version = 0;
  bool readable = false;
  TargetRegistration entry;
};

/// Derives the set of registered targets from the rows of the store. An entry
/// that is missing right after an outage of the store may have expired because
/// the target could not renew it. Such a target is kept for the time in which a
/// live one registers again.
class TargetFeed {
 public:
  /// Changes to the set of targets that result from a read.
  struct Changes {
    std::vector<TargetRegistration> updated;
    std::vector<std::string> removed;
  };

  /// The store answers again after an outage.
  void OnStoreReconnected(Instant now) { reconnected_at_ = now; }
  /// The store came back from an older copy: its versions begin anew, and what
  /// targets wrote since the copy is written again.
  void OnStoreRestored(Instant now);
  /// Applies all rows of the table, as of one version.
  Changes OnSnapshot(const std::vector<TargetRow>& rows, Instant now);
  /// Applies rows that changed.
  Changes OnChanges(const std::vector<TargetRow>& rows, Instant now);
  /// Removes targets that were kept after an outage and have not registered
  /// again in time.
  /// @returns ids of the removed targets
  std::vector<std::string> Expire(Instant now);
  /// Whether targets are kept that Expire may have to remove.
  bool has_pending() const { return !missing_until_.empty(); }

 private:
  void Apply(const TargetRow& row, Instant now, Changes& changes);
  void OnMissing(const std::string& id, Instant now, Changes& changes);

  /// End of the last outage of the store.
  Instant reconnected_at_{};
  /// Version of each known target's row.
  std::map<std::string, std::int64_t> versions_;
  /// Time at which each target without an entry is removed.
  std::map<std::string, Instant> missing_until_;
};

}  // namespace jackdaw::serving
