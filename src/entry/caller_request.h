#pragma once

#include <string>

#include "core/time.h"

namespace jackdaw {

/// Identity of one caller's request while it is served.
struct CallerRequest {
  std::string id;
  Instant arrived{};
  /// Digest of the key, empty where none was sent.
  std::string key_digest;
  std::string workspace;
};

}  // namespace jackdaw
