#pragma once

#include <boost/json.hpp>
#include <cstdint>

namespace jackdaw {

/// Measures how many innocent requests are quarantined while targets crash at
/// random and some requests crash each target that runs them: with suspects
/// that run alone at a target, and with suspects that run together.
boost::json::array MeasureCrashes(std::uint64_t seed);

}  // namespace jackdaw
