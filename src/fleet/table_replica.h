#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "platform/store_types.h"

namespace jackdaw::serving {

/// Rows of one table that came after a version, for an instance that does not
/// watch the store itself.
struct RowDelta {
  /// The rows are the whole table; what they do not name is gone.
  bool whole = false;
  /// The rows are too large to be relayed: the receiver is to read them from
  /// the store.
  bool read_store = false;
  /// Version up to which the receiver is then informed.
  std::int64_t version = 0;
  std::vector<platform::StoredRow> rows;
};

/// Copy of one table as an instance knows it, from which others are informed.
class TableReplica {
 public:
  /// All rows as of one moment.
  void OnSnapshot(const platform::RowSet& set, Instant now);
  /// Rows that changed.
  void OnChanges(const platform::RowSet& set, Instant now);
  /// What another instance relayed.
  void OnDelta(const RowDelta& delta, Instant now);

  /// What an instance lacks that knows the table up to `after`. Rows that are
  /// large together are left to the store, whose link is wider than an
  /// instance's.
  /// @param max_bytes bytes of rows that may be relayed
  RowDelta DeltaSince(std::int64_t after, std::size_t max_bytes) const;
  std::int64_t version() const { return version_; }

 private:
  struct CachedRow {
    platform::StoredRow row;
    Instant at{};
  };

  void Apply(const platform::StoredRow& row, Instant now);
  void PruneTombstones(Instant now);

  std::map<std::string, CachedRow> rows_;
  std::int64_t version_ = 0;
  /// Rows that were dropped up to this version may be missing.
  std::int64_t tombstones_from_ = 0;
};

}  // namespace jackdaw::serving
