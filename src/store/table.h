#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdaw {

/// One row of the table in which the product keeps what must last.
struct Row {
  std::string key;
  std::string value;
  /// Commit number of the last write; grows over the whole table.
  std::uint64_t version = 0;
};

/// Condition of a transaction: the row has this version, 0 for absent.
struct RowCheck {
  std::string key;
  std::uint64_t version = 0;
};

/// Write of a transaction; no value deletes the row.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

/// Writes that take effect together, only if every check holds.
struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

/// What a transaction came to.
struct Commit {
  bool committed = false;
  /// Version of the rows written; 0 when not committed.
  std::uint64_t version = 0;
  /// First key whose check failed.
  std::string conflict;
};

/// Rows wanted: single keys, and all keys under prefixes. Rows whose version
/// is not above `newer_than` are left out.
struct ReadQuery {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
  std::uint64_t newer_than = 0;
};

}  // namespace jackdaw
