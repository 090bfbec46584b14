#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "fleet/member_table.h"

namespace jackdaw::serving {

/// The part of all quotas that one instance may spend.
struct ShareEntry {
  std::string name;
  /// The part that the instance is to hold.
  double share = 0;
  /// The most that it may hold until it has applied `share`.
  double bound = 0;
  bool operator==(const ShareEntry&) const = default;
};

/// The parts of all instances. The bounds never exceed one together.
struct ShareTable {
  std::int64_t epoch = 0;
  std::vector<ShareEntry> entries;

  const ShareEntry* Find(std::string_view name) const;
};

/// Row value of the table.
std::string EncodeShares(const ShareTable& table);
Result<ShareTable> DecodeShares(std::string_view document);

/// Plans even parts for the live members: parts are lowered first, and raised
/// only by what the others are known to have given up. A member that has
/// fallen silent keeps its part until it can no longer spend it.
/// @param read_at moment at which the members were read
/// @returns the next table; its epoch is unchanged when nothing is to change
ShareTable PlanShares(const ShareTable& current,
                      const MemberTable& members,
                      Instant read_at);

/// Time without an applied write after which an instance drops its part.
constexpr Micros kShareDropTimeout = 25s;
/// Time of silence after which the part of an instance is given to others.
constexpr Micros kShareReclaimTimeout = 30s;

}  // namespace jackdaw::serving
