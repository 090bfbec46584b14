#pragma once

#include "config/fleet_config.h"

namespace jackdaw {

/// When the next exception ends, after a moment.
/// @returns milliseconds since the Unix epoch, or 0 when none ends
std::int64_t NextExpiry(const FleetConfig& config, std::int64_t now_ms);

}  // namespace jackdaw
