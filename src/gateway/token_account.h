#pragma once

#include <cstdint>

#include "gateway/load_forecast.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Returns the most tokens that the requests at a target may hold, waiting ones
/// included. A target whose requests exceed its KV memory ends, with all
/// requests that it holds.
/// @param mean_tokens mean tokens of a request; 0 if unknown
std::int64_t TokenLimit(const EngineSpec& engine, double mean_tokens);

/// Returns whether a request of `tokens` tokens would exceed what the target
/// can hold. An engine without a known capacity, and a target without requests,
/// are never full.
bool IsFull(const EngineSpec& engine,
            const LoadForecast& forecast,
            std::int64_t tokens,
            Instant now);

/// Returns when a target that is full is expected to have room for a request.
Instant TimeOfRoom(const EngineSpec& engine,
                   const LoadForecast& forecast,
                   std::int64_t tokens,
                   Instant now);

}  // namespace jackdaw::serving
