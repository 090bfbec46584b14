#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "fleet/table_version.h"
#include "gateway/homes.h"
#include "platform/store_types.h"

namespace jackdaw::serving {

/// Returns the name of the failure domain whose evacuation a row of the
/// operator's table states; nothing for other rows and for empty or overlong
/// names.
std::optional<std::string_view> EvacuatedDomain(const platform::StoredRow& row);

/// The failure domains that the operator has evacuated, from the rows of the
/// store. A domain is evacuated while its row exists. If the store comes back
/// from an older copy without the row, the evacuation is kept for some time, in
/// which the operator can write the row again.
class Evacuations {
 public:
  /// What a read or the time has changed.
  struct Changes {
    std::vector<std::string> begun;
    std::vector<std::string> ended;
    /// Domains that stay evacuated although the store has lost their rows.
    std::vector<std::string> kept;
    /// Rows whose name is empty or overlong.
    std::size_t skipped = 0;
  };

  /// Applies rows of the operator's table. Rows that are older than those known
  /// change nothing.
  /// @param whole the rows are a snapshot of the table
  Changes OnRows(const platform::RowSet& rows, bool whole, Instant now);
  /// Ends the evacuations whose rows the store has lost and that were not
  /// written again in time.
  Changes Expire(Instant now);
  /// Returns the failure domains that are evacuated.
  DomainSet domains() const;

 private:
  struct Evacuation {
    /// Set while the store lacks the row after it came back from an older copy:
    /// the time at which the evacuation ends.
    std::optional<Instant> kept_until;
  };

  void OnStoreRestored(const platform::RowSet& rows,
                       Instant now,
                       Changes& changes);
  void Apply(const platform::StoredRow& row, Changes& changes);
  void EndMissing(const platform::RowSet& rows, Changes& changes);

  TableVersion version_;
  std::map<std::string, Evacuation, std::less<>> evacuations_;
};

}  // namespace jackdaw::serving
