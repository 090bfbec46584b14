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
  /// The largest share that it may still use until it has applied `share`.
  double bound = 0;
  bool operator==(const ShareEntry&) const = default;
};

/// The shares of all instances. The sum of the bounds never exceeds one.
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

/// Plans equal shares for the live members. Shares are lowered first, and
/// raised only by what other members have confirmed to have freed. A silent
/// member keeps its share until it can no longer spend it.
/// @param read_at time at which the members were read
/// @returns the next table; its epoch is unchanged if nothing changes
ShareTable PlanShares(const ShareTable& current,
                      const MemberTable& members,
                      Instant read_at);

/// An instance drops its share after this time without contact to the leader
/// and without a successful write to the store.
constexpr Micros kShareDropTimeout = 25s;
/// The share of an instance is given to others after this time of silence. It
/// is longer than kShareDropTimeout, so the instance has dropped its share
/// before.
constexpr Micros kShareReclaimTimeout = 30s;

}  // namespace jackdaw::serving
