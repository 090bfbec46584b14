#pragma once

#include <string>

#include "http/endpoint.h"
#include "placement/target_controller.h"

namespace jackdaw {

/// A target whose lease this instance holds or wants, in the daemon.
struct ManagedTarget {
  TargetController controller;
  Endpoint endpoint;
  bool assigned = false;
  bool leaving = false;
  /// A read of the engine's state is under way.
  bool read_in_flight = false;
  /// A write of the lease's row is under way.
  bool write_in_flight = false;
  Instant last_report_at{};
};

}  // namespace jackdaw
