#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/time.h"
#include "store/table.h"

namespace jackdaw {

/// Key prefix of all intent rows; a hexadecimal digest follows it.
inline constexpr std::string_view kIntentPrefix = "once/";

/// Selects the expired intent rows to delete. Performs no I/O. The key space is
/// scanned in 4096 slices by the first three hexadecimal digits of the digest,
/// which keeps each read and transaction small. Each instance starts at a slice
/// taken from its clock, so that instances rarely scan the same rows at the
/// same time.
class ExpirySweep {
 public:
  /// @param start any number; selects the slice at which the sweep starts
  explicit ExpirySweep(std::uint64_t start) : slice_(start % kSlices) {}

  /// Advances to the next slice and returns its key prefix.
  std::string NextPrefix();

  /// Returns a transaction that deletes at most 50 expired rows, each on
  /// condition of its version. Rows that cannot be decoded are skipped.
  /// @param keep_time retention time of stored outcomes. Rows without an
  /// outcome are kept for at least an hour: a delayed claim expects the row to
  /// be absent and would succeed after the deletion.
  static Transaction MakeDeletions(Instant now,
                                   std::span<const Row> rows,
                                   Micros keep_time);

 private:
  static constexpr std::uint64_t kSlices = 4096;
  std::uint64_t slice_;
};

}  // namespace jackdaw
