#pragma once

#include <cstdint>

namespace jackdaw::serving {

/// Counters of requests since the process started. The last two are current
/// numbers.
struct ExchangeCounters {
  std::uint64_t started = 0;
  std::uint64_t answered = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t aborted = 0;
  std::uint64_t in_progress = 0;
  /// Requests that pacing holds back until a target has capacity.
  std::uint64_t waiting = 0;
};

}  // namespace jackdaw::serving
