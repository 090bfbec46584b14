#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "fleet/fleet_view.h"
#include "fleet/share_plan.h"
#include "fleet/table_replica.h"

namespace jackdaw::serving {

/// What an instance sends to the leader at each beat.
struct HeartbeatRequest {
  Member member;
  std::string view_id;
  std::int64_t config_after = 0;
  std::int64_t targets_after = 0;
};

/// What the leader answers: what changed since the last beat.
struct HeartbeatReply {
  /// The sender leads and was in touch with the store lately.
  bool fresh = false;
  std::int64_t term = 0;
  std::optional<FleetView> view;
  std::optional<ShareTable> shares;
  RowDelta config;
  RowDelta targets;
  std::vector<CrashCount> crashes;
};

/// Row value of the leader's view.
std::string EncodeViewRow(const FleetView& view);
Result<FleetView> DecodeViewRow(std::string_view document);
std::string EncodeHeartbeat(const HeartbeatRequest& heartbeat);
Result<HeartbeatRequest> DecodeHeartbeat(std::string_view document);
std::string EncodeHeartbeatReply(const HeartbeatReply& reply);
Result<HeartbeatReply> DecodeHeartbeatReply(std::string_view document);

}  // namespace jackdaw::serving
