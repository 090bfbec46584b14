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
  TargetRegistration entry;
};

}  // namespace jackdaw::serving
