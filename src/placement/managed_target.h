#pragma once

#include <string>

#include "http/endpoint.h"
#include "placement/target_controller.h"

namespace jackdaw {

/// A target whose lease this instance holds or wants, in the daemon.
struct OwnTarget {
  TargetController controller;
  Endpoint endpoint;
  bool wanted = false;
  bool leaving = false;
  /// A read of the engine's state is under way.
  bool reading = false;
  /// A write of the lease's row is under way.
  bool writing = false;
  Instant last_report_at{};
};

}  // namespace jackdaw
