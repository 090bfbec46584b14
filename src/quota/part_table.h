#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "quota/quota_parts.h"

namespace jackdaw::serving {

/// Who may use one part of the quotas.
struct PartEntry {
  /// The instance that is to use the part; empty if there is none yet.
  std::string holder;
  /// Instances that may still use it. The holder does not until these are gone
  /// or have confirmed a table from `since_epoch` on.
  std::vector<std::string> releasing;
  /// Epoch of the table that named this holder.
  std::int64_t since_epoch = 0;
  bool operator==(const PartEntry&) const = default;
};

/// The parts that one instance may use, as of an epoch of the table.
struct PartGrant {
  std::int64_t epoch = 0;
  PartSet parts;
};

/// The holders of all parts of the quotas, planned by the leader. At most one
/// instance may use a part at any time.
struct PartTable {
  /// Grows with each change of the table; 0 for the empty table.
  std::int64_t epoch = 0;
  /// One entry for each part; empty before the first plan.
  std::vector<PartEntry> parts;

  /// Returns the parts that an instance may use by this table.
  PartSet UsableBy(std::string_view name) const;
  /// Returns the names of all instances that hold parts or may use some.
  std::set<std::string> Names() const;
};

/// Returns the parts that an instance is to use.
/// @param held the parts that it uses now
/// @param first_epoch least epoch of tables planned since the store last came
/// back from an older copy; see FirstNumberOfEpoch. The parts that an earlier
/// table names may have been given to others since, so it adds none.
PartSet PartsToApply(const PartTable& table,
                     std::string_view name,
                     const PartSet& held,
                     std::int64_t first_epoch);

/// Returns the row value of the table.
std::string EncodePartTable(const PartTable& table);
/// @returns the table, or kMalformed / kInvalidSetting
Result<PartTable> DecodePartTable(std::string_view document);

/// Encodes a set of parts as hexadecimal digits, 4 parts each.
std::string EncodeParts(const PartSet& parts);
/// @returns the set, or kMalformed
Result<PartSet> DecodeParts(std::string_view text);

}  // namespace jackdaw::serving
