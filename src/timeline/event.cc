#include "timeline/event.h"

#include <array>

namespace jackdaw {
namespace {

constexpr std::array<std::string_view, 26> kEventNames{
    "started",         "ready",
    "config-applied",  "request-admitted",
    "request-refused", "request-dispatched",
    "request-retried", "request-finished",
    "stream-resumed",  "intent-stored",
    "key-withdrawn",   "drain-started",
    "drain-finished",  "share-moved",
    "lease-taken",     "lease-lost",
    "order-sent",      "order-confirmed",
    "peer-lost",       "peer-seen",
    "target-down",     "target-up",
    "quarantined",     "store-down",
    "store-up",        "invariant-breach"};
static_assert(kEventNames.size() ==
              static_cast<std::size_t>(EventKind::kInvariantBreach) + 1);

}  // namespace

std::string_view EventName(EventKind kind) {
  return kEventNames[static_cast<std::size_t>(kind)];
}

}  // namespace jackdaw
