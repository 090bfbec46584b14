#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/object_reader.h"
#include "gateway/crash_memory.h"
#include "gateway/demand_meter.h"
#include "http/endpoint.h"

namespace jackdaw::serving {

/// Whether an instance takes new callers.
enum class MemberState : std::uint8_t { kStarting, kReady, kDraining, kGone };

/// Demand for one model at one instance.
struct ModelDemand {
  ModelKey key;
  Demand demand;
};

/// What an instance tells the others of itself, in its row of the store.
struct Member {
  std::string name;
  /// Where callers connect.
  Endpoint entry;
  /// Where other instances ask.
  Endpoint peer;
  std::string failure_domain;
  /// Tells the starts of one instance apart.
  std::string boot_id;
  /// Grows with each write.
  std::int64_t heartbeat_number = 0;
  MemberState state = MemberState::kStarting;
  /// Share table that the instance has applied.
  std::int64_t shares_epoch = 0;
  std::vector<ModelDemand> demand;
  std::vector<CrashCount> crashes;
};

/// Counts of broken connections as rows and beats carry them.
boost::json::array EncodeCrashes(std::span<const CrashCount> counts);
/// Reads the member `crashes`. @returns the first error where one is malformed
Result<std::vector<CrashCount>> ReadCrashes(ObjectReader& reader);

/// Row value of a member.
std::string EncodeMember(const Member& member);
/// @returns the member, or kMalformed
Result<Member> DecodeMember(std::string_view document);

}  // namespace jackdaw::serving
