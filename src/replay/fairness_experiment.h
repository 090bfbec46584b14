#pragma once

#include <boost/json.hpp>
#include <cstdint>

namespace jackdaw {

/// Measures what a workspace that sends five times its rate, and one with long
/// prompts, cost the others: without fairness, with engines' priorities, and
/// with the weighted queue at the entry besides.
boost::json::array MeasureFairness(std::uint64_t seed);

}  // namespace jackdaw
