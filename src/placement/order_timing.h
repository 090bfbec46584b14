#pragma once

#include "core/time.h"

namespace jackdaw {

/// Time bounds on which the safety of orders depends.
struct OrderTiming {
  /// Time for which one write of the row holds the lease.
  Micros lease_term = 15s;
  /// Longest time from the end of the call that sent an order to the arrival of
  /// the order, or of a duplicate of it, at the engine.
  Micros max_delivery_delay = 3s;
  /// Longest time for which a former holder may be paused between its last
  /// check of the lease and sending the order. Matters only for engines that do
  /// not check fencing numbers.
  Micros max_holder_pause = 120s;
};

}  // namespace jackdaw
