#pragma once

#include <string>
#include <string_view>

#include "timeline/hybrid_clock.h"

namespace jackdaw {

/// What happened; names are in EventName.
enum class EventKind : std::uint8_t {
  kStarted,
  kReady,
  kConfigApplied,
  kRequestAdmitted,
  kRequestRefused,
  kRequestDispatched,
  kRequestRetried,
  kRequestFinished,
  kStreamResumed,
  kIntentStored,
  kKeyWithdrawn,
  kDrainStarted,
  kDrainFinished,
  kShareMoved,
  kLeaseTaken,
  kLeaseLost,
  kOrderSent,
  kOrderConfirmed,
  kPeerLost,
  kPeerSeen,
  kTargetDown,
  kTargetUp,
  kQuarantined,
  kStoreDown,
  kStoreUp,
  kInvariantBreach,
};

std::string_view EventName(EventKind kind);

/// One entry of the time line. Empty members do not apply.
struct Event {
  HybridTimestamp stamp = 0;
  EventKind kind = EventKind::kStarted;
  std::string request_id;
  std::string workspace;
  std::string target;
  std::string detail;
};

}  // namespace jackdaw
