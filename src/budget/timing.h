#pragma once

#include "core/time.h"

namespace jackdaw {

/// Term of the lease of the flexible parts, from the time its renewal was sent.
inline constexpr Micros kShareLeaseTerm = 6s;
/// Time for which a row must be seen unchanged before its flexible parts are
/// reclaimed.
inline constexpr Micros kReclaimDelay = 9s;
/// Time after its last confirmation for which a configuration may be acted on.
inline constexpr Micros kConfigValidityTime = 5s;
/// Time for which an instance must be absent from the platform's list before
/// all of its units and transfers are reclaimed; exceeds the delay of the list.
inline constexpr Micros kDepartureDelay = 20s;
/// Time from a request for tokens to a peer within which a grant is accepted.
inline constexpr Micros kGrantTimeout = 1s;
/// Time for which the granting peer reserves the capacity of granted tokens.
inline constexpr Micros kGrantReservationTime = 2s;
/// Time constant with which demand is smoothed.
inline constexpr Micros kDemandTimeConstant = 10s;
/// The same for the demand that sizes the floor parts; longer, as they do not
/// change during an outage of the store and must suffice for all of it.
inline constexpr Micros kSteadyDemandTimeConstant = 60s;

// The capacity of granted tokens is reserved until the peer can no longer use
// them.
static_assert(kGrantReservationTime > kGrantTimeout);
// When flexible parts are reclaimed, their lease has expired, and tokens
// granted from them to peers are used or lost.
static_assert(kReclaimDelay >= kShareLeaseTerm + kGrantReservationTime);
// A lowered rate must be in force everywhere within 7 s of its acceptance.
static_assert(kConfigValidityTime < 7s);

}  // namespace jackdaw
