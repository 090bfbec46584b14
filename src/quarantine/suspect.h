#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Record of a request that was in flight when a target crashed.
struct Suspect {
  /// Targets that crashed with the request in flight, without duplicates.
  std::vector<std::string> targets;
  /// When the record expires.
  Instant until{};
  /// Set once two targets have crashed, or the target of a claimed attempt.
  bool quarantined = false;

  /// Merges the record of another instance.
  void Merge(const Suspect& other);
  /// Adds a crash. @param claimed whether the attempt held a claim
  void AddCrash(std::string target, bool claimed);
};

/// Whether a request may be dispatched.
enum class DispatchPermit : std::uint8_t {
  kAllowed,
  kNeedsClaim,
  kQuarantined
};

}  // namespace jackdaw
