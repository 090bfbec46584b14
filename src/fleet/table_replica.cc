#include "fleet/table_replica.h"

#include <algorithm>
#include <set>

namespace jackdaw::serving {
namespace {

// Time for which the tombstone of a deleted row is kept.
constexpr Micros kTombstoneLifetime = 30s;

}  // namespace

platform::RowSet RowDelta::Rows() const {
  platform::RowSet set;
  set.epoch = version.epoch;
  set.version = version.number;
  set.rows = rows;
  return set;
}

void TableReplica::Apply(const platform::StoredRow& row, Instant now) {
  CachedRow& cached = rows_[row.at.key];
  if (cached.row.version <= row.version) {
    cached.row = row;
    cached.at = now;
  }
}

void TableReplica::PruneTombstones(Instant now) {
  std::erase_if(rows_, [&](const auto& item) {
    const CachedRow& cached = item.second;
    if (!cached.row.dropped || now - cached.at < kTombstoneLifetime) {
      return false;
    }
    tombstones_from_ = std::max(tombstones_from_, cached.row.version);
    return true;
  });
}

// A row that is missing from the snapshot was deleted at an unknown version up
// to the snapshot's, so its tombstone gets the version of the snapshot.
void TableReplica::OnSnapshot(const platform::RowSet& set, Instant now) {
  const TableVersion version{set.epoch, set.version};
  if (version < version_) {
    return;
  }
  if (version.epoch > version_.epoch) {
    rows_.clear();
    version_ = {version.epoch, 0};
  }
  std::set<std::string> present;
  for (const platform::StoredRow& row : set.rows) {
    present.insert(row.at.key);
    Apply(row, now);
  }
  for (auto& [key, cached] : rows_) {
    if (!present.contains(key) && !cached.row.dropped) {
      cached.row.dropped = true;
      cached.row.value.clear();
      cached.row.version = set.version;
      cached.at = now;
    }
  }
  if (version_.number == 0) {
    tombstones_from_ = set.version;
  }
  version_ = version;
  PruneTombstones(now);
}

void TableReplica::OnChanges(const platform::RowSet& set, Instant now) {
  if (set.epoch != version_.epoch) {
    return;
  }
  for (const platform::StoredRow& row : set.rows) {
    Apply(row, now);
  }
  version_.number = std::max(version_.number, set.version);
  PruneTombstones(now);
}

RowDelta TableReplica::DeltaSince(const TableVersion& after,
                                  std::size_t max_bytes) const {
  RowDelta delta;
  delta.version = version_;
  delta.whole =
      after.epoch != version_.epoch || after.number < tombstones_from_;
  std::size_t bytes = 0;
  for (const auto& [key, cached] : rows_) {
    if (delta.whole ? !cached.row.dropped : cached.row.version > after.number) {
      delta.rows.push_back(cached.row);
      bytes += cached.row.value.size();
    }
  }
  if (bytes > max_bytes) {
    delta = {};
    delta.read_store = true;
    delta.version = after;
  }
  return delta;
}

}  // namespace jackdaw::serving
