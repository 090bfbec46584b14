#include "once/expiry_sweep.h"

#include <algorithm>

#include "once/intent_row.h"

namespace jackdaw {
namespace {

// Rows deleted in one transaction.
constexpr std::size_t kMaxDeletions = 50;
// Least time that a row without an outcome is kept.
constexpr Micros kOpenRowTime = std::chrono::hours(1);

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

Transaction ExpirySweep::Deletions(Instant now,
                                   std::span<const Row> rows,
                                   Micros keep) {
  Transaction transaction;
  for (const auto& row : rows) {
    const auto intent = DecodeIntentRow(row.value);
    if (!intent || transaction.writes.size() >= kMaxDeletions) {
      continue;
    }
    const bool done = intent.value().phase == IntentPhase::kDone;
    const Micros kept = done ? keep : std::max(keep, kOpenRowTime);
    if (now - intent.value().written > kept) {
      transaction.checks.push_back({row.key, row.version});
      transaction.writes.push_back({row.key, std::nullopt});
    }
  }
  return transaction;
}

}  // namespace jackdaw
