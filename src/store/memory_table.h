#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/table.h"

namespace jackdaw {

/// Table held in memory: the semantics that the platform's table service
/// promises. Serves the stand-in, the replay tool and tests.
class MemoryTable {
 public:
  /// Applies a transaction. @returns whether it took effect, and where not,
  /// the first key whose check failed
  Commit Apply(const Transaction& transaction);

  /// Rows that match a query, in key order within each part of it.
  std::vector<Row> Read(const ReadQuery& query) const;

  std::uint64_t version() const { return version_; }

 private:
  std::map<std::string, Row, std::less<>> rows_;
  std::uint64_t version_ = 0;
};

}  // namespace jackdaw
