#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/time.h"
#include "store/table.h"

namespace jackdaw {

/// Start of the key of every intent row; a hexadecimal digest follows.
inline constexpr std::string_view kIntentPrefix = "once/";

/// Decides which intent rows to delete. Pure. The key space is swept in small
/// slices, so that no read and no transaction is large; the instances start
/// at different slices.
class ExpirySweep {
 public:
  /// @param start any number; where in the key space to begin
  explicit ExpirySweep(std::uint64_t start) : slice_(start % kSlices) {}

  /// Prefix of the rows to look at next.
  std::string NextPrefix();

  /// Deletes the rows that have expired, each on condition of its version.
  /// @param keep time that outcomes are kept; rows without one are kept for
  /// at least an hour, so that a late write still finds its condition gone
  static Transaction MakeDeletions(Instant now,
                                   std::span<const Row> rows,
                                   Micros keep_time);

 private:
  static constexpr std::uint64_t kSlices = 4096;
  std::uint64_t slice_;
};

}  // namespace jackdaw
