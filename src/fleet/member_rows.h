#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// The members' rows in the store: which versions were read, and which rows are
/// so old that the leader removes them. A live member that needs its row writes
/// it again.
class MemberRows {
 public:
  /// A row that may be removed while it has this version.
  struct OldRow {
    std::string key;
    std::int64_t version = 0;
  };

  /// Notes a row that was read.
  /// @returns whether this version of it is new
  bool OnRow(const std::string& key, std::int64_t version, Instant now);
  /// Notes when a row was written, if it says so. Until then it counts as
  /// written when its version was first read.
  void SetWritten(const std::string& key, Instant written_at);
  /// Forgets the rows that the store does not have any more.
  /// @param present keys of all rows that were read
  void Retain(const std::set<std::string>& present);
  /// Forgets all rows, as the store came back from an older copy.
  void Clear() { rows_.clear(); }

  /// Returns rows written longer than kRowLifetime ago, as many as one
  /// transaction takes.
  std::vector<OldRow> Old(Instant now) const;

 private:
  struct Row {
    std::int64_t version = 0;
    Instant written_at{};
  };

  std::map<std::string, Row> rows_;
};

}  // namespace jackdaw::serving
