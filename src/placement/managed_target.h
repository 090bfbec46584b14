#pragma once

#include <string>

#include "http/endpoint.h"
#include "placement/target_controller.h"

namespace jackdaw {

/// The placement agent's state of one engine. Every instance has an entry for
/// each engine and issues orders only to those whose lease it holds.
struct ManagedTarget {
  TargetController controller;
  Endpoint endpoint;
  /// Whether the target is assigned to this instance.
  bool assigned = false;
  /// Whether the engine reports that it is draining.
  bool draining = false;
  /// Whether a read of the engine's state is in flight.
  bool read_in_flight = false;
  /// Whether a write of the lease row is in flight.
  bool write_in_flight = false;
  /// When the latest report received was requested.
  Instant last_report_at{};
};

}  // namespace jackdaw
