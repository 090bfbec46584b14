#include "fleet/row_relay.h"

#include <algorithm>
#include <set>

namespace jackdaw::serving {
namespace {

// Time for which it is remembered that a row was dropped.
constexpr Micros kDroppedKept = 30s;

}  // namespace

void RowRelay::Take(const platform::StoredRow& row, Instant now) {
  Kept& kept = rows_[row.at.key];
  if (kept.row.version <= row.version) {
    kept.row = row;
    kept.at = now;
  }
}

void RowRelay::Prune(Instant now) {
  std::erase_if(rows_, [&](const auto& item) {
    const Kept& kept = item.second;
    if (!kept.row.dropped || now - kept.at < kDroppedKept) {
      return false;
    }
    complete_from_ = std::max(complete_from_, kept.row.version);
    return true;
  });
}

// A row that is missing from the whole table was dropped at some version up
// to that of the table.
void RowRelay::OnWhole(const platform::RowSet& set, Instant now) {
  if (set.version < version_) {
    return;
  }
  std::set<std::string> present;
  for (const platform::StoredRow& row : set.rows) {
    present.insert(row.at.key);
    Take(row, now);
  }
  for (auto& [key, kept] : rows_) {
    if (!present.contains(key) && !kept.row.dropped) {
      kept.row.dropped = true;
      kept.row.value.clear();
      kept.row.version = set.version;
      kept.at = now;
    }
  }
  if (version_ == 0) {
    complete_from_ = set.version;
  }
  version_ = std::max(version_, set.version);
  Prune(now);
}

void RowRelay::OnChanges(const platform::RowSet& set, Instant now) {
  for (const platform::StoredRow& row : set.rows) {
    Take(row, now);
  }
  version_ = std::max(version_, set.version);
  Prune(now);
}

void RowRelay::OnDelta(const RowDelta& delta, Instant now) {
  platform::RowSet set;
  set.version = delta.version;
  set.rows = delta.rows;
  if (delta.whole) {
    OnWhole(set, now);
  } else {
    OnChanges(set, now);
  }
}

RowDelta RowRelay::Since(std::int64_t after, std::size_t most_bytes) const {
  RowDelta delta;
  delta.version = version_;
  delta.whole = after < complete_from_;
  std::size_t bytes = 0;
  for (const auto& [key, kept] : rows_) {
    if (delta.whole ? !kept.row.dropped : kept.row.version > after) {
      delta.rows.push_back(kept.row);
      bytes += kept.row.value.size();
    }
  }
  if (bytes > most_bytes) {
    delta = {};
    delta.read_store = true;
    delta.version = after;
  }
  return delta;
}

}  // namespace jackdaw::serving
