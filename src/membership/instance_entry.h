#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace jackdaw {

/// Key prefix of the rows that list the instances.
inline constexpr std::string_view kInstancePrefix = "instance/";

/// State of an instance in the platform's list.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

/// Entry of the platform's list of instances; one row of the table each.
struct InstanceEntry {
  std::string name;
  /// Addresses for callers, operators and peers.
  std::string entry_address;
  std::string operator_address;
  std::string peer_address;
  std::string failure_domain;
  /// Identifies one start of the instance; a later start has a higher number.
  std::uint64_t incarnation = 0;
  InstanceState state = InstanceState::kLive;
};

/// Encode and decode entries as JSON. The decoders return kMalformed or
/// kInvalidSetting for invalid bodies.
std::string EncodeInstance(const InstanceEntry& entry);
Result<InstanceEntry> DecodeInstance(std::string_view body);
std::string EncodeInstances(const std::vector<InstanceEntry>& entries);
Result<std::vector<InstanceEntry>> DecodeInstances(std::string_view body);

}  // namespace jackdaw
