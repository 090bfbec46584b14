#pragma once

#include "fleet/member_table.h"
#include "quota/part_table.h"

namespace jackdaw::serving {

/// Plans the holders of the quotas' parts: for each pool, the instances that
/// rendezvous hashing ranks first among the live ones that are not draining.
/// The units of a part cannot be used while it moves, so of each pool few parts
/// move at a time. A part of a silent instance stays there until it has lapsed,
/// after kPartsReclaimTimeout.
/// @param now current time, by which the silence of members is judged
/// @param first_epoch see PartsToApply. If `current` is of an earlier epoch, or
/// a member knows a later one, members may hold parts of later tables that the
/// store has lost. There is no plan until all live ones have said what they
/// hold; a silent one may hold each part that nobody claims.
/// @returns the next table; its epoch is unchanged if nothing changes
PartTable PlanParts(const PartTable& current,
                    const MemberTable& members,
                    Instant now,
                    std::int64_t first_epoch = 0);

/// The parts of an instance lapse after this time without contact to the leader
/// and without a successful write to the store.
constexpr Micros kPartsLapseTimeout = 25s;
/// The parts of an instance are given to others after this time of silence. It
/// is longer than kPartsLapseTimeout, so that they have lapsed before.
constexpr Micros kPartsReclaimTimeout = 30s;

}  // namespace jackdaw::serving
