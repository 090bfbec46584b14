#include "config/expiry.h"

namespace jackdaw {

std::int64_t NextExpiry(const FleetConfig& config, std::int64_t now_ms) {
  std::int64_t next = 0;
  for (const auto& exception : config.exceptions) {
    if (exception.expires_ms > now_ms &&
        (next == 0 || exception.expires_ms < next)) {
      next = exception.expires_ms;
    }
  }
  return next;
}

}  // namespace jackdaw
