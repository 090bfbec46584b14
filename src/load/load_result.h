#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "load/histogram.h"

namespace jackdaw {

/// Figures of one workspace of a load run.
struct WorkspaceResult {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  /// Served with the first token and the gaps between tokens within target.
  std::uint64_t attained = 0;
};

/// Figures of a load run. Times are in microseconds from the intended start.
struct LoadResult {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t tokens = 0;
  std::uint64_t refused = 0;
  /// Refusals by kind; connection failures count as `connection`.
  std::map<std::string, std::uint64_t> refused_by_kind;
  /// Answers whose connection ended before their explicit end.
  std::uint64_t cut_off = 0;
  /// Answers mixed up, of another request, or ended with tokens missing.
  std::uint64_t broken_answers = 0;
  /// Bookings that ran more than once, by the count the service returns.
  std::uint64_t doubled_calls = 0;
  Histogram first_token;
  Histogram between_tokens;
  Histogram whole;
  std::map<std::string, WorkspaceResult> workspaces;

  void Merge(const LoadResult& other);
};

/// JSON report with the figure names of the design.
/// @param accelerators count to divide the attained requests by
std::string EncodeLoadResult(const LoadResult& result,
                             double seconds,
                             std::int64_t accelerators);

}  // namespace jackdaw
