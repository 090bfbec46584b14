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

/// A part to block.
struct CrashingPart {
  std::uint64_t part = 0;
  /// Another part to block that came with it in a request, or 0. While both are
  /// blocked, the crashes do not tell which of them causes them, so a request
  /// with only one of them may pass: it is sound, or its crash tells them
  /// apart.
  std::uint64_t partner = 0;
};

/// Returns the smallest set of parts, found step by step, that explains the
/// crashes. The part with the most crashes comes first, together with those
/// that were in nearly all of them; these crashes then say nothing against
/// other parts, but for those with many crashes.
std::vector<CrashingPart> FindCrashingParts(
    std::span<const PartSuspicion> suspicions);

}  // namespace jackdaw::serving
