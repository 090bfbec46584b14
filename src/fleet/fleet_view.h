#pragma once

#include <string>
#include <vector>

#include "fleet/member.h"
#include "fleet/member_silence.h"

namespace jackdaw::serving {

/// The data of an instance that its peers need: addresses, failure domain and
/// state.
struct FleetMember {
  std::string name;
  Endpoint entry;
  Endpoint peer;
  std::string failure_domain;
  MemberState state = MemberState::kStarting;
  bool operator==(const FleetMember&) const = default;
};

/// The live instances, as seen by the leader.
struct FleetView {
  /// Unique id of the view; it changes whenever the members do.
  std::string id;
  std::vector<FleetMember> members;
};

}  // namespace jackdaw::serving
