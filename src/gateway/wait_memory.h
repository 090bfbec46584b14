#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"

namespace jackdaw::serving {

/// Tells callers that come back after a refusal from those that come first:
/// a caller's deadline shrinks by what it has waited already, so it is shorter
/// than the longest one seen on the route.
class WaitMemory {
 public:
  /// @param wait time that the caller still waits
  /// @returns time that it has probably waited before, 0 for a first try
  Micros OnRequest(std::string_view route, Micros wait);

 private:
  std::unordered_map<std::string, Micros> longest_;
};

}  // namespace jackdaw::serving
