#pragma once

#include <boost/json.hpp>
#include <string>

namespace jackdaw {

/// Table of an array of objects, one line each, for people.
std::string TableText(const boost::json::array& items);

/// Lines that differ between two values, as `- old` and `+ new` with paths.
std::string Difference(const boost::json::value& before,
                       const boost::json::value& after,
                       const std::string& path = {});

}  // namespace jackdaw
