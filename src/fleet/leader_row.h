#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "fleet/leadership.h"

namespace jackdaw::serving {

/// Returns the row value of the leader's lease.
std::string EncodeLeaderLease(const LeaderLease& lease);
/// Decodes the row value of the lease.
/// @returns the lease without its row version, or kMalformed
Result<LeaderLease> DecodeLeaderLease(std::string_view document);

}  // namespace jackdaw::serving
