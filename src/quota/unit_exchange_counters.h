#pragma once

#include <cstdint>

namespace jackdaw::serving {

/// Counts of the units that move between instances.
struct UnitExchangeCounters {
  /// Requests for units that were sent, and those that were not answered.
  std::uint64_t requested = 0;
  std::uint64_t unanswered = 0;
  /// Requests of other instances, and those that got less than they asked for.
  std::uint64_t served = 0;
  std::uint64_t short_served = 0;
  /// Messages that were refused as malformed or of an unknown workspace.
  std::uint64_t refused = 0;
};

}  // namespace jackdaw::serving
