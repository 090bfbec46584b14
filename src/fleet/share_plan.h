#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "fleet/member_table.h"

namespace jackdaw::serving {

/// The share of all quotas that one instance may spend, between 0 and 1.
struct ShareEntry {
  std::string name;
  /// The share that the instance is to apply.
  double share = 0;
  /// The largest share that it may be using until it has applied `share`: that
  /// of an earlier table, if it was larger.
  double bound = 0;
  bool operator==(const ShareEntry&) const = default;
};

/// The shares of all instances. The sum of the bounds exceeds one
/// only after the store came back from an older copy, until members have
/// confirmed a table of the new epoch.
struct ShareTable {
  /// Grows with each change of the table.
  std::int64_t epoch = 0;
  std::vector<ShareEntry> entries;

  /// @returns null if the instance has no entry
  const ShareEntry* Find(std::string_view name) const;
};

/// Returns the row value of the table.
std::string EncodeShares(const ShareTable& table);
Result<ShareTable> DecodeShares(std::string_view document);

/// Returns the share that an instance is to apply.
/// @param held share that it applies now
/// @param first_epoch least epoch of tables planned since the store last came
/// back from an older copy; see FirstNumberOfEpoch. The share that an earlier
/// table names may have been given to others since, so it raises none.
double ShareToApply(const ShareTable& table,
                    std::string_view name,
                    double held,
                    std::int64_t first_epoch);

/// Plans equal shares for the live members that are not draining. Shares are
/// lowered first. A share is raised only by what other members have freed,
/// which they confirm by the epoch in their heartbeats. The share of a silent
/// member is reclaimed after kShareReclaimTimeout, when the member has dropped
/// it.
/// @param now current time, by which the silence of members is judged
/// @param first_epoch see ShareToApply. If `current` is of an earlier epoch,
/// members may hold shares of later tables that the store has lost. There is no
/// plan until all live ones have said what they hold; the silent ones may hold
/// all the rest.
/// @returns the next table; its epoch is unchanged if nothing changes
ShareTable PlanShares(const ShareTable& current,
                      const MemberTable& members,
                      Instant now,
                      std::int64_t first_epoch = 0);

/// An instance drops its share after this time without contact to the leader
/// and without a successful write to the store.
constexpr Micros kShareDropTimeout = 25s;
/// The share of an instance is given to others after this time of silence. It
/// is longer than kShareDropTimeout, so the instance has dropped its share
/// before.
constexpr Micros kShareReclaimTimeout = 30s;

}  // namespace jackdaw::serving
