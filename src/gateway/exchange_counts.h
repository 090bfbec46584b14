#pragma once

#include <cstdint>

namespace jackdaw::serving {

/// Counters of requests of this process since its start.
struct ExchangeCounts {
  std::uint64_t begun = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t under_way = 0;
  /// Requests that wait here for room at a target.
  std::uint64_t waiting = 0;
};

}  // namespace jackdaw::serving
