#pragma once

#include <boost/json.hpp>
#include <cstdint>

namespace jackdaw {

/// Measures how many attempts the targets see for each request while half of
/// them fail, with the retry budget and with up to three attempts without one.
boost::json::array MeasureRetries(std::uint64_t seed);

}  // namespace jackdaw
