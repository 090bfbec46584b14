#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/object_reader.h"
#include "fleet/store_clock.h"
#include "gateway/crash_tracker.h"
#include "gateway/demand_meter.h"
#include "gateway/rate_limit.h"
#include "gateway/target_notice.h"
#include "http/endpoint.h"
#include "quota/quota_parts.h"

namespace jackdaw::serving {

/// Lifecycle of an instance. Only a ready instance accepts new callers.
enum class MemberState : std::uint8_t { kStarting, kReady, kDraining, kGone };

/// Demand for one model at one instance.
struct ModelDemand {
  ModelKey key;
  Demand demand;
};

/// State that an instance publishes about itself, in heartbeats to the leader
/// or in its row of the store.
struct Member {
  std::string name;
  /// Address for callers.
  Endpoint entry;
  /// Address for requests of other instances.
  Endpoint peer;
  std::string failure_domain;
  /// Random id of this run of the process.
  std::string boot_id;
  /// Grows with each heartbeat of a run. Older states are ignored.
  std::int64_t heartbeat_number = 0;
  /// Store's time at which the instance sent this state, as far as it knows.
  StoreTime sent_at;
  MemberState state = MemberState::kStarting;
  /// Epoch of the table of the quotas' parts that the instance has applied: 0
  /// before the first, -1 after its parts have lapsed or while it is unknown.
  std::int64_t parts_epoch = 0;
  /// Parts of the quotas that the instance uses, if known.
  std::optional<PartSet> parts;
  std::vector<ModelDemand> demand;
  /// Crashes of targets that the leader has not been told yet.
  std::vector<CrashReport> crashes;
  /// Limits that targets have named.
  std::vector<RateLimitReport> rate_limits;
  /// Targets that announced that they leave.
  std::vector<LeavingReport> leaving_targets;
};

/// Encodes the targets that leave, for heartbeats.
boost::json::array EncodeLeaving(std::span<const LeavingReport> reports);
/// Reads the field `leaving_targets` of an object.
/// @returns the reports, or the error of the first malformed one
Result<std::vector<LeavingReport>> ReadLeaving(ObjectReader& reader);

/// Encodes the limits of targets for heartbeats.
boost::json::array EncodeRateLimits(std::span<const RateLimitReport> reports);
/// Reads the field `rate_limits` of an object.
/// @returns the reports, or the error of the first malformed one
Result<std::vector<RateLimitReport>> ReadRateLimits(ObjectReader& reader);

/// Encodes reports of crashed targets for rows and heartbeats.
boost::json::array EncodeCrashes(std::span<const CrashReport> reports);
/// Reads the field `crashes` of an object.
/// @returns the reports, or the error of the first malformed one
Result<std::vector<CrashReport>> ReadCrashes(ObjectReader& reader);

/// Returns the row value of the crashes that the leader knows.
std::string EncodeCrashRow(std::span<const CrashReport> reports);
Result<std::vector<CrashReport>> DecodeCrashRow(std::string_view document);

/// Returns the row value of a member.
std::string EncodeMember(const Member& member);
/// @returns the member, or kMalformed
Result<Member> DecodeMember(std::string_view document);

}  // namespace jackdaw::serving
