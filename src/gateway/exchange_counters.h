#pragma once

#include <cstdint>

namespace jackdaw::serving {

/// Counters of requests since the process started. `in_progress` and `waiting`
/// are gauges.
struct ExchangeCounters {
  std::uint64_t started = 0;
  std::uint64_t answered = 0;
  /// Requests rejected with 429 or 503.
  std::uint64_t rejected = 0;
  /// Error responses of the instance other than 429 and 503.
  std::uint64_t failed = 0;
  /// Requests whose caller disconnected.
  std::uint64_t abandoned = 0;
  /// Requests rejected because all their targets name a limit.
  std::uint64_t limited_refusals = 0;
  /// Requests rejected because all their targets asked for rest.
  std::uint64_t resting_refusals = 0;
  /// Requests rejected because the memory of all their targets is full.
  std::uint64_t full_refusals = 0;
  /// Attempts that left the failure domain: it would have been late, a part was
  /// sent away as it was short, or none of its targets could serve them.
  std::uint64_t left_domain_late = 0;
  std::uint64_t left_domain_spillover = 0;
  std::uint64_t left_domain_no_target = 0;
  std::uint64_t retries = 0;
  /// Streams continued at another target.
  std::uint64_t resumed = 0;
  /// Responses that the instance cut off.
  std::uint64_t aborted = 0;
  /// Requests that ended without any of these outcomes, which is a fault.
  std::uint64_t without_end = 0;
  std::uint64_t in_progress = 0;
  /// Requests that pacing holds back until a target has capacity.
  std::uint64_t waiting = 0;
};

}  // namespace jackdaw::serving
