#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "fleet/table_version.h"
#include "platform/store_types.h"

namespace jackdaw::serving {

/// Rows of one table that changed after a version, for an instance that does
/// not watch the store itself.
struct RowDelta {
  /// The rows are a snapshot of the table; rows that are not in it were
  /// deleted.
  bool whole = false;
  /// The rows are too large to be relayed; the receiver has to read them from
  /// the store.
  bool read_store = false;
  /// Version of the table that the receiver has after applying the rows.
  TableVersion version;
  std::vector<platform::StoredRow> rows;

  /// Returns the rows as the store hands them out.
  platform::RowSet Rows() const;
};

/// An instance's copy of one table of the store. A leader builds the deltas for
/// its followers from it. Deleted rows stay as tombstones for some time.
class TableReplica {
 public:
  /// Applies a snapshot; one that is older than the replica is ignored. One of
  /// a later epoch replaces all rows.
  void OnSnapshot(const platform::RowSet& set, Instant now);
  /// Applies rows that changed; those of another epoch are ignored.
  void OnChanges(const platform::RowSet& set, Instant now);

  /// Returns what an instance lacks that knows the table up to version `after`.
  /// If the rows exceed `max_bytes` together, the delta has none and refers to
  /// the store, whose network link is faster than an instance's.
  /// An instance that knows another epoch gets a snapshot.
  RowDelta DeltaSince(const TableVersion& after, std::size_t max_bytes) const;
  const TableVersion& version() const { return version_; }

 private:
  struct CachedRow {
    platform::StoredRow row;
    Instant at{};
  };

  void Apply(const platform::StoredRow& row, Instant now);
  void PruneTombstones(Instant now);

  std::map<std::string, CachedRow> rows_;
  TableVersion version_;
  /// Tombstones up to this version may have been removed; instances that know
  /// only an older version get a snapshot.
  std::int64_t tombstones_from_ = 0;
};

}  // namespace jackdaw::serving
