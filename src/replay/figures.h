#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "load/histogram.h"

namespace jackdaw {

/// Figures of a replay, with the names that every tool uses.
struct Figures {
  double attainment_per_accelerator = 0;
  std::uint64_t moves = 0;
  double worst_workspace_attainment = 0;
  std::uint64_t wrongful_refusals = 0;
  std::uint64_t refused_total = 0;
  std::int64_t overspend_tokens = 0;
  std::uint64_t invariant_violations = 0;
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  /// Microseconds.
  Histogram time_to_first_token;
  Histogram time_between_tokens;
};

/// JSON form; times in milliseconds.
std::string EncodeFigures(const Figures& figures);

/// Checks figures against stated outcomes: {"name": {"min": x, "max": y}},
/// where a name may reach into an object, such as `time_to_first_token_ms.p95`.
/// @returns success, or kConflict that lists each figure out of its bounds
Result<void> CheckOutcomes(const Figures& figures, std::string_view outcomes);

}  // namespace jackdaw
