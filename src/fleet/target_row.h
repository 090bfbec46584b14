#pragma once

#include <cstdint>
#include <string>

#include "serving/target_registration.h"

namespace jackdaw::serving {

/// A row of the table of targets. `readable` is false if the row was deleted or
/// is malformed; `entry` is then empty.
struct TargetRow {
  std::string id;
  std::int64_t version = 0;
  bool readable = false;
  /// The entry has all that the row says; one that a leader relayed lacks what
  /// only a leader needs.
  bool complete = true;
  TargetRegistration entry;
};

}  // namespace jackdaw::serving
