#pragma once

#include <string>

#include "core/time.h"

namespace jackdaw {

/// Identifies one caller's request while it is served.
struct CallerRequest {
  std::string id;
  Instant arrived{};
  /// Digest of the API key; empty if the caller sent none.
  std::string key_digest;
  std::string workspace;
};

}  // namespace jackdaw
