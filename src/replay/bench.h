#pragma once

#include <cstdint>

namespace jackdaw {

/// Outcome of the deterministic bench.
struct BenchResult {
  /// Hash over every decision made; the same on each run of the same code.
  std::uint64_t signature = 0;
  std::uint64_t decisions = 0;
};

/// Drives the decision code with a fixed workload under a virtual clock.
BenchResult RunBench();

}  // namespace jackdaw
