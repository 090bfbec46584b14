#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// What is known of a request that was in flight when a target crashed.
struct Suspect {
  /// Targets that crashed with it in flight, each once.
  std::vector<std::string> targets;
  /// Moment at which the record is forgotten.
  Instant until{};
  /// Set once two targets, or a target of a claimed run, have crashed.
  bool quarantined = false;

  /// Joins what another instance knows.
  void Merge(const Suspect& other);
  /// Adds a crash. @param claimed whether it ran alone, under a claim
  void AddCrash(std::string target, bool claimed);
};

/// Whether a request may run.
enum class DispatchPermit : std::uint8_t {
  kAllowed,
  kNeedsClaim,
  kQuarantined
};

}  // namespace jackdaw
