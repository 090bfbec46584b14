#pragma once

#include "core/time.h"

namespace jackdaw {

/// Term of the lease of flexible parts, from the moment its renewal was sent.
inline constexpr Micros kShareLeaseTerm = 6s;
/// Time for which a row must be seen unchanged before its flexible parts are
/// taken.
inline constexpr Micros kReclaimDelay = 9s;
/// Time without a newer confirmation for which a configuration may be acted
/// on.
inline constexpr Micros kConfigValidityTime = 5s;
/// Time for which an instance must be absent from the platform's list before
/// its floor parts are taken.
inline constexpr Micros kDepartureDelay = 20s;
/// Time from asking a peer for tokens within which its answer is of use.
inline constexpr Micros kGrantTimeout = 1s;
/// Time for which the giver keeps room for tokens given.
inline constexpr Micros kGrantReservationTime = 2s;
/// Time over which demand is smoothed.
inline constexpr Micros kDemandTimeConstant = 10s;
/// The same for floor parts, which stay as they are through an outage.
inline constexpr Micros kSteadyDemandTimeConstant = 60s;

static_assert(kGrantReservationTime > kGrantTimeout);
static_assert(kReclaimDelay >= kShareLeaseTerm + kGrantReservationTime);
static_assert(kConfigValidityTime < 7s);

}  // namespace jackdaw
