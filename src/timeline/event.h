#pragma once

#include <string>
#include <string_view>

#include "timeline/hybrid_clock.h"

namespace jackdaw {

/// Kind of a timeline event; EventName returns the name of a kind.
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

/// One timeline event. Members that do not apply to its kind are empty.
struct Event {
  HybridTimestamp stamp = 0;
  EventKind kind = EventKind::kStarted;
  std::string request_id;
  std::string workspace;
  std::string target;
  std::string detail;
};

}  // namespace jackdaw
