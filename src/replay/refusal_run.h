#pragma once

#include <cstdint>

namespace jackdaw {

/// Shape of a run of the refusal recorder over a whole fleet.
struct RefusalRunShape {
  std::uint64_t seed = 1;
  int instances = 370;
  double refusals_per_second = 445;
  std::int64_t seconds = 120;
  /// The store fails all calls in this part of the run; equal for never.
  std::int64_t outage_from_s = 0;
  std::int64_t outage_to_s = 0;
  /// Instances that end without notice, spread over the run, each replaced.
  int crashes = 0;
  /// One in so many puts takes effect but its answer is lost; 0 for none.
  std::uint64_t lose_put_answer_one_in = 0;
};

/// What came of a run, judged from the store's contents at its end.
struct RefusalRunResult {
  std::uint64_t refused = 0;
  std::uint64_t stored = 0;
  std::uint64_t doubled = 0;
  /// Refused but not stored.
  std::uint64_t missing = 0;
  /// Missing records of which the store or an end mark tells.
  std::uint64_t missing_told = 0;
  std::uint64_t puts = 0;
  double puts_per_second = 0;
  /// Most puts in any one second.
  std::uint64_t peak_puts_per_second = 0;
  double stored_bytes_per_second = 0;
  std::uint64_t peak_buffer_bytes = 0;
  std::uint64_t signature = 0;
};

/// Runs the recorder's decision code for a fleet under a virtual clock.
RefusalRunResult RunRefusals(const RefusalRunShape& shape);

}  // namespace jackdaw
