#pragma once

#include "core/time.h"

namespace jackdaw {

/// Bounds that the safety of orders rests on.
struct OrderTiming {
  /// Time for which one write holds a lease.
  Micros lease_term = 15s;
  /// Longest time from the end of a call that carried an order to its arrival
  /// at the engine, also of a copy of it.
  Micros max_delivery_delay = 3s;
  /// Longest time for which a former holder may be paused between its last
  /// look at its lease and the order; matters only for engines that do not
  /// check fencing numbers.
  Micros max_holder_pause = 120s;
};

}  // namespace jackdaw
