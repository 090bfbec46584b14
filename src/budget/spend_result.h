#pragma once

#include "core/time.h"

namespace jackdaw {

/// Result of an attempt to spend tokens.
struct SpendResult {
  bool granted = false;
  /// Estimated time at which the same attempt can succeed; Instant::max() for
  /// never.
  Instant ready_at{};
};

}  // namespace jackdaw
