#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "fleet/leadership.h"

namespace jackdaw::serving {

/// Row value of the leader's lease.
std::string EncodeLeaderLease(const LeaderLease& lease);
/// @returns the lease without its row version, or kMalformed
Result<LeaderLease> DecodeLeaderLease(std::string_view document);

}  // namespace jackdaw::serving
