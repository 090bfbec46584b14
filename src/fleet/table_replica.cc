#include "fleet/table_replica.h"

#include <algorithm>
#include <set>

namespace jackdaw::serving {
namespace {

// Time for which the tombstone of a deleted row is kept.
constexpr Micros kTombstoneLifetime = 30s;
// Bytes of a full row in a message besides key and value.
constexpr std::size_t kRowOverhead = 60;

// Returns a delta that refers an instance to the store.
RowDelta Referral(const TableVersion& after) {
  RowDelta delta;
  delta.read_store = true;
  delta.version = after;
  return delta;
}

}  // namespace

TableReplica::TableReplica(RowForm form) : form_(std::move(form)) {}

bool TableReplica::IsCompact(const platform::StoredRow& row) const {
  return !row.dropped && form_.is_compact && form_.is_compact(row.value);
}

bool TableReplica::HasCompactRows() const {
  return std::ranges::any_of(
      rows_, [&](const auto& item) { return IsCompact(item.second.row); });
}

// A row that is known in full is not replaced by its own compact text.
void TableReplica::Apply(const platform::StoredRow& row, Instant now) {
  CachedRow& cached = rows_[row.at.key];
  const bool known = cached.row.version == row.version && row.version > 0 &&
                     !IsCompact(cached.row) && IsCompact(row);
  if (cached.row.version > row.version || known) {
    return;
  }
  cached.row = row;
  cached.at = now;
  if (row.dropped) {
    cached.text.clear();
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
      cached.text.clear();
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

bool TableReplica::NeedsWhole(const TableVersion& after) const {
  return after.epoch != version_.epoch || after.number < tombstones_from_;
}

RowDelta TableReplica::DeltaSince(const TableVersion& after,
                                  std::size_t max_bytes) const {
  RowDelta delta;
  delta.version = version_;
  delta.whole = NeedsWhole(after);
  bool incomplete = false;
  for (const auto& [key, cached] : rows_) {
    if (delta.whole ? !cached.row.dropped : cached.row.version > after.number) {
      delta.rows.push_back(cached.row);
      delta.bytes += JsonSize(key) + JsonSize(cached.row.value) + kRowOverhead;
      incomplete = incomplete || IsCompact(cached.row);
    }
  }
  return incomplete || delta.bytes > max_bytes ? Referral(after) : delta;
}

const std::string& TableReplica::TextOf(CachedRow& cached) const {
  const platform::StoredRow& row = cached.row;
  if (cached.text.empty() || cached.text_version != row.version) {
    std::string text = form_.encode ? form_.encode(row) : PackValue(row.value);
    if (text != cached.text) {
      cached.text = std::move(text);
      cached.same_since = row.version;
    }
    cached.text_version = row.version;
  }
  return cached.text;
}

// @param after version from which on the receiver needs changes
RelayedRow TableReplica::Relay(CachedRow& cached, std::int64_t after) const {
  RelayedRow relayed;
  relayed.key = cached.row.at.key;
  relayed.version = cached.row.version;
  if (cached.row.dropped) {
    relayed.kind = RelayedRow::Kind::kDeleted;
    return relayed;
  }
  const std::string& text = TextOf(cached);
  if (cached.same_since <= after) {
    relayed.kind = RelayedRow::Kind::kUnchanged;
    relayed.digest = TextDigest(text);
  } else {
    relayed.text = text;
  }
  return relayed;
}

RowDelta TableReplica::CompactDeltaSince(const TableVersion& after,
                                         std::size_t max_bytes) {
  RowDelta delta;
  delta.version = version_;
  delta.whole = NeedsWhole(after);
  for (auto& [key, cached] : rows_) {
    if (delta.whole ? !cached.row.dropped : cached.row.version > after.number) {
      delta.relayed.push_back(Relay(cached, delta.whole ? -1 : after.number));
      delta.bytes += SizeOf(delta.relayed.back());
    }
  }
  return delta.bytes > max_bytes ? Referral(after) : delta;
}

// A row that is said to be unchanged may have had another content between the
// versions that the leader read, which an instance that watched the store
// itself then has. The digest tells.
Result<platform::StoredRow> TableReplica::ExpandRow(const RelayedRow& relayed) {
  platform::StoredRow row;
  row.at.key = relayed.key;
  row.version = relayed.version;
  row.dropped = relayed.kind == RelayedRow::Kind::kDeleted;
  if (relayed.kind == RelayedRow::Kind::kUnchanged) {
    const auto found = rows_.find(relayed.key);
    if (found != rows_.end() && found->second.row.version >= row.version) {
      return found->second.row;
    }
    if (found == rows_.end() || found->second.row.dropped ||
        TextDigest(TextOf(found->second)) != relayed.digest) {
      return Error{ErrorKind::kMalformed,
                   "relayed row " + relayed.key + ": not the one known here",
                   "the rows are read from the store"};
    }
    row.value = found->second.row.value;
  } else if (relayed.kind == RelayedRow::Kind::kText) {
    row.value = relayed.text;
    if (!IsCompact(row)) {
      BOOST_OUTCOME_TRY(row.value, UnpackValue(relayed.text));
    }
  }
  return row;
}

Result<platform::RowSet> TableReplica::Expand(const RowDelta& delta) {
  platform::RowSet set;
  set.epoch = delta.version.epoch;
  set.version = delta.version.number;
  set.rows = delta.rows;
  for (const RelayedRow& relayed : delta.relayed) {
    BOOST_OUTCOME_TRY(platform::StoredRow row, ExpandRow(relayed));
    set.rows.push_back(std::move(row));
  }
  return set;
}

}  // namespace jackdaw::serving
