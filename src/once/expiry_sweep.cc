#include "once/expiry_sweep.h"

#include <algorithm>

#include "once/intent_row.h"

namespace jackdaw {
namespace {

// Maximum number of rows deleted in one transaction.
constexpr std::size_t kMaxDeletions = 50;
// Minimum age at which a row without an outcome is deleted.
constexpr Micros kMinOpenRowAge = std::chrono::hours(1);

}  // namespace

std::string ExpirySweep::NextPrefix() {
  constexpr std::string_view kDigits = "0123456789abcdef";
  slice_ = (slice_ + 1) % kSlices;
  std::string prefix(kIntentPrefix);
  for (const int shift : {8, 4, 0}) {
    prefix += kDigits[(slice_ >> shift) & 0xf];
  }
  return prefix;
}

Transaction ExpirySweep::MakeDeletions(Instant now,
                                       std::span<const Row> rows,
                                       Micros keep_time) {
  Transaction transaction;
  for (const auto& row : rows) {
    const auto intent = DecodeIntentRow(row.value);
    if (!intent || transaction.writes.size() >= kMaxDeletions) {
      continue;
    }
    const bool done = intent.value().phase == IntentPhase::kDone;
    const Micros row_keep_time =
        done ? keep_time : std::max(keep_time, kMinOpenRowAge);
    if (now - intent.value().written > row_keep_time) {
      transaction.checks.push_back({row.key, row.version});
      transaction.writes.push_back({row.key, std::nullopt});
    }
  }
  return transaction;
}

}  // namespace jackdaw
