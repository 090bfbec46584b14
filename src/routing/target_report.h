#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "orders/order.h"

namespace jackdaw {

/// Load report of a target. It describes a past state: reports lag.
struct TargetReport {
  /// Requests that the target runs, and requests that wait in its queue.
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  /// Accelerator memory of the target, and the part of it in use.
  std::int64_t memory_mb = 0;
  std::int64_t used_mb = 0;
  /// The target is shutting down and takes no new requests.
  bool leaving = false;
  /// Number that changes at each start of the target; 0 where not reported.
  std::int64_t incarnation = 0;
  /// Names of the resident models and adapters.
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  /// All models and adapters in memory, in any state.
  std::vector<EngineArtifact> items;
};

std::string EncodeReport(const TargetReport& report);
Result<TargetReport> DecodeReport(std::string_view body);

}  // namespace jackdaw
