#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "fleet/relayed_row.h"
#include "fleet/table_version.h"
#include "platform/store_types.h"

namespace jackdaw::serving {

/// Rows of one table that changed after a version, for an instance that does
/// not watch the store itself.
struct RowDelta {
  /// The rows are a snapshot of the table; rows that are not in it were
  /// deleted.
  bool whole = false;
  /// The rows are too large to be relayed, or only their compact form is known;
  /// the receiver has to read them from the store.
  bool read_store = false;
  /// Version of the table that the receiver has after applying the rows.
  TableVersion version;
  std::vector<platform::StoredRow> rows;
  /// Rows in the compact form, in place of `rows`.
  std::vector<RelayedRow> relayed;
  /// Bytes that the rows take in a message.
  std::size_t bytes = 0;
};

/// How the rows of a table are relayed in the compact form.
struct RowForm {
  /// Returns the text of a row; see RelayedRow.
  std::function<std::string(const platform::StoredRow&)> encode;
  /// Whether a value is such a text itself and lacks a part of the row. If the
  /// function is empty, no value is.
  std::function<bool(std::string_view)> is_compact;
};

/// An instance's copy of one table of the store. A leader builds the deltas for
/// its followers from it. Deleted rows stay as tombstones for some time.
class TableReplica {
 public:
  explicit TableReplica(RowForm form = {});

  /// Applies a snapshot; one that is older than the replica is ignored. One of
  /// a later epoch replaces all rows.
  void OnSnapshot(const platform::RowSet& set, Instant now);
  /// Applies rows that changed; those of another epoch are ignored.
  void OnChanges(const platform::RowSet& set, Instant now);

  /// Returns what an instance lacks that knows the table up to version `after`.
  /// If the rows exceed `max_bytes` together, the delta has none and refers to
  /// the store, whose network link is faster than an instance's.
  /// An instance that knows another epoch gets a snapshot.
  /// A delta that would need a row of which only the compact text is known
  /// refers to the store as well.
  RowDelta DeltaSince(const TableVersion& after, std::size_t max_bytes) const;
  /// Returns the same in the compact form. Each row is encoded once.
  RowDelta CompactDeltaSince(const TableVersion& after, std::size_t max_bytes);
  /// Returns the rows of a delta as the store hands them out; the values of
  /// compact rows are their texts.
  /// @returns kMalformed if a row has an unknown form, or is said to be
  /// unchanged and is not known here
  Result<platform::RowSet> Expand(const RowDelta& delta);
  /// Whether the replica has a row of which only the compact text is known.
  bool HasCompactRows() const;
  const TableVersion& version() const { return version_; }

 private:
  struct CachedRow {
    platform::StoredRow row;
    Instant at{};
    /// Text of the version `text_version`; empty if there is none.
    std::string text;
    std::int64_t text_version = 0;
    /// Version from which on the text was the same, as far as known.
    std::int64_t same_since = 0;
  };

  void Apply(const platform::StoredRow& row, Instant now);
  bool IsCompact(const platform::StoredRow& row) const;
  bool NeedsWhole(const TableVersion& after) const;
  const std::string& TextOf(CachedRow& cached) const;
  RelayedRow Relay(CachedRow& cached, std::int64_t after) const;
  Result<platform::StoredRow> ExpandRow(const RelayedRow& relayed);
  void PruneTombstones(Instant now);

  RowForm form_;
  std::map<std::string, CachedRow> rows_;
  TableVersion version_;
  /// Tombstones up to this version may have been removed; instances that know
  /// only an older version get a snapshot.
  std::int64_t tombstones_from_ = 0;
};

}  // namespace jackdaw::serving
