#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// A crash during which a target ran a request with a certain prompt part.
struct PartCrash {
  std::uint64_t target = 0;
  std::uint64_t request = 0;
  Instant at{};
};

/// The crashes that are held against one part.
struct PartSuspicion {
  std::uint64_t part = 0;
  std::vector<PartCrash> crashes;
};

/// Returns the number of crashes that speak against a part: those of different
/// targets at different times. Targets that crash at one moment have a common
/// cause, and a request that was sent again meets crashes of others, so that
/// one request alone counts for at most kMaxCrashesOfOneRequest.
int CountPartCrashes(std::span<const PartCrash> crashes);

/// Returns the parts to block: the smallest set, found step by step, that
/// explains the crashes. The part with the most crashes comes first; its
/// crashes then say nothing against the other parts, but for those that were in
/// nearly all of them.
std::vector<std::uint64_t> FindCrashingParts(
    std::vector<PartSuspicion> suspicions);

}  // namespace jackdaw::serving
