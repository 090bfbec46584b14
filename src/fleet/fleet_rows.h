#pragma once

#include <string>
#include <string_view>

#include "core/time.h"
#include "platform/store_types.h"
#include "platform/tables.h"

namespace jackdaw::serving {

/// Keys of the rows of the fleet's table.
inline constexpr std::string_view kMemberPrefix = "member/";
inline constexpr std::string_view kLeaseKey = "leader";
inline constexpr std::string_view kPartsKey = "parts";
inline constexpr std::string_view kViewKey = "view";
inline constexpr std::string_view kCrashesKey = "crashes";

/// Timeout of a call to the store for the fleet's table.
inline constexpr Micros kFleetTableTimeout = 900ms;

inline platform::RowKey FleetKey(std::string_view key) {
  return {std::string(platform::kFleetTable), "", std::string(key)};
}

}  // namespace jackdaw::serving
