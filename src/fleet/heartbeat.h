#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "fleet/fleet_view.h"
#include "fleet/table_replica.h"
#include "quota/part_table.h"

namespace jackdaw::serving {

/// Heartbeat of a follower. It carries the follower's own state and the
/// versions of what it knows, so that the leader answers with the differences
/// only.
struct HeartbeatRequest {
  Member member;
  /// Id of the fleet view that the sender has; empty if it has none.
  std::string view_id;
  /// Version up to which the sender knows the table of configurations.
  TableVersion config_after;
  /// Version up to which the sender knows the table of targets.
  TableVersion targets_after;
  /// Version of the configuration in force at the sender; 0 if there is none,
  /// -1 if unknown.
  std::int64_t config_version = -1;
  /// Compact form of relayed rows that the sender understands; see kRowForm.
  std::int64_t row_form = 0;
};

/// The leader's answer to a heartbeat: everything that has changed since the
/// versions that the heartbeat names.
struct HeartbeatReply {
  /// The sender leads, its last write to the store is recent, and its store
  /// watches work. Otherwise the follower reads the store itself.
  bool fresh = false;
  /// Time since the store has certainly answered the sender; changes since then
  /// may be unknown to it. Leaders of earlier releases leave it out.
  Micros contact_age{};
  /// Lease term of the leader.
  std::int64_t term = 0;
  /// Set if the view of the follower is outdated.
  std::optional<FleetView> view;
  /// Members of the view that the leader has not heard for a while.
  std::vector<MemberSilence> silent;
  /// Store's time at which the leader replied, as far as it knows.
  StoreTime replied_at;
  /// Parts of the quotas that the follower is to use, if it uses others or has
  /// not confirmed the table's epoch.
  std::optional<PartGrant> parts;
  /// `config` carries the rows of evacuations. Leaders of earlier releases
  /// leave them out.
  bool relays_evacuations = false;
  /// Rows of the tables of configurations and of targets.
  RowDelta config;
  RowDelta targets;
  /// Document of the configuration in force at the leader, if the sender has an
  /// older one and the store has lost this one; else empty.
  std::string lost_config;
  /// Requests that crash their targets and are not to be sent.
  std::vector<CrashReport> crashes;
  /// Limits that targets have named.
  std::vector<RateLimitReport> rate_limits;
  /// Targets that announced that they leave.
  std::vector<LeavingReport> leaving_targets;
};

/// Returns the row value of the leader's view.
std::string EncodeViewRow(const FleetView& view);
Result<FleetView> DecodeViewRow(std::string_view document);
std::string EncodeHeartbeat(const HeartbeatRequest& heartbeat);
Result<HeartbeatRequest> DecodeHeartbeat(std::string_view document);
std::string EncodeHeartbeatReply(const HeartbeatReply& reply);
Result<HeartbeatReply> DecodeHeartbeatReply(std::string_view document);

}  // namespace jackdaw::serving
