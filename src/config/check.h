#pragma once

#include "config/fleet_config.h"

namespace jackdaw {

/// Checks a configuration for parts that contradict each other: keys, routes
/// and exceptions that stand twice, exceptions for an unknown scope.
/// @returns the first fault with its path
Result<void> CheckConsistency(const FleetConfig& config);

/// Checks the step from one configuration to the next: what would break a
/// promise that the one in force makes.
/// @param now_ms milliseconds since the Unix epoch
Result<void> CheckChange(const FleetConfig& before,
                         const FleetConfig& after,
                         std::int64_t now_ms);

}  // namespace jackdaw
