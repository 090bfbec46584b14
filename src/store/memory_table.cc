#include "store/memory_table.h"

namespace jackdaw {

Commit MemoryTable::Apply(const Transaction& transaction) {
  for (const auto& check : transaction.checks) {
    const auto row = rows_.find(check.key);
    const std::uint64_t found = row == rows_.end() ? 0 : row->second.version;
    if (found != check.version) {
      return {false, 0, check.key};
    }
  }
  ++version_;
  for (const auto& write : transaction.writes) {
    if (write.value) {
      rows_[write.key] = Row{write.key, *write.value, version_};
    } else {
      rows_.erase(write.key);
    }
  }
  return {true, version_, {}};
}

std::vector<Row> MemoryTable::Read(const ReadQuery& query) const {
  std::vector<Row> found;
  const auto take = [&](const Row& row) {
    if (row.version > query.newer_than) {
      found.push_back(row);
    }
  };
  for (const auto& key : query.keys) {
    if (const auto row = rows_.find(key); row != rows_.end()) {
      take(row->second);
    }
  }
  for (const auto& prefix : query.prefixes) {
    for (auto row = rows_.lower_bound(prefix);
         row != rows_.end() && row->first.starts_with(prefix); ++row) {
      take(row->second);
    }
  }
  return found;
}

}  // namespace jackdaw
