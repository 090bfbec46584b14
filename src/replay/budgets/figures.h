#pragma once

#include <cstdint>

namespace jackdaw {

/// What a run came to.
struct BudgetFigures {
  std::int64_t requests = 0;
  std::int64_t refused_total = 0;
  /// Refused beyond what one bucket for the whole fleet would have refused,
  /// summed over workspaces.
  std::int64_t wrongful_refusals = 0;
  /// The same while a new fleet learns where its demand is.
  std::int64_t requests_at_start = 0;
  std::int64_t wrongful_at_start = 0;
  std::int64_t waited = 0;
  std::int64_t overspend_tokens = 0;
  std::int64_t invariant_violations = 0;
  std::int64_t peer_messages = 0;
  std::int64_t peer_bytes = 0;
  std::int64_t table_bytes = 0;
  /// Bytes of the instance that sent and received most.
  std::int64_t busiest_bytes = 0;
  std::int64_t table_reads = 0;
  std::int64_t table_writes = 0;
  /// Largest sum of the shares of one workspace over all instances, in units.
  std::int64_t largest_sum = 0;
  double seconds = 0;
  std::int64_t instances = 0;
};

}  // namespace jackdaw
