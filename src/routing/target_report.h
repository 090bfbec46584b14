#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "orders/order.h"

namespace jackdaw {

/// Load report of a target, as it stood some time ago.
struct TargetReport {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t memory_mb = 0;
  std::int64_t used_mb = 0;
  bool leaving = false;
  /// Number that differs after each start of the target; 0 where not told.
  std::int64_t incarnation = 0;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  /// All that the memory holds, in any state.
  std::vector<EngineArtifact> items;
};

std::string EncodeReport(const TargetReport& report);
Result<TargetReport> DecodeReport(std::string_view body);

}  // namespace jackdaw
