#pragma once

#include "core/time.h"

namespace jackdaw {

/// Answer to a request to spend tokens.
struct SpendResult {
  bool granted = false;
  /// Estimate of when the same spend could be granted; Instant::max() for
  /// never.
  Instant ready_at{};
};

}  // namespace jackdaw
