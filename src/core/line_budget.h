#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Bounds log lines per kind and second, and counts those left out.
class LineBudget {
 public:
  /// Lines of one kind that were left out in a second.
  struct Dropped {
    std::string kind;
    std::int64_t count = 0;
  };

  /// @param per_second lines of one kind that may be written in a second
  explicit LineBudget(std::int64_t per_second) : per_second_(per_second) {}

  /// Whether a line may be written.
  bool Allow(std::string_view kind, Instant now);
  /// What was left out in the seconds before this one.
  std::vector<Dropped> TakeDropped(Instant now);

 private:
  struct Count {
    std::int64_t second = 0;
    std::int64_t written = 0;
    std::int64_t dropped = 0;
  };

  std::int64_t per_second_;
  std::map<std::string, Count, std::less<>> kinds_;
  std::int64_t told_second_ = 0;
};

}  // namespace jackdaw
