#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace jackdaw {

/// Prefix of the rows that list the instances.
inline constexpr std::string_view kInstancePrefix = "instance/";

/// State of an instance in the fleet's list.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

/// An entry of the fleet's list of instances, a row of the table each.
struct InstanceEntry {
  std::string name;
  std::string entry_address;
  std::string operator_address;
  std::string peer_address;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  InstanceState state = InstanceState::kLive;
};

/// JSON forms of entries. Decoders return kMalformed or kInvalidSetting for
/// bodies that do not fit.
std::string EncodeInstance(const InstanceEntry& entry);
Result<InstanceEntry> DecodeInstance(std::string_view body);
std::string EncodeInstances(const std::vector<InstanceEntry>& entries);
Result<std::vector<InstanceEntry>> DecodeInstances(std::string_view body);

}  // namespace jackdaw
