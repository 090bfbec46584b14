#pragma once

#include <string>
#include <vector>

#include "fleet/member.h"

namespace jackdaw::serving {

/// An instance, as far as the others have to know it.
struct FleetMember {
  std::string name;
  Endpoint entry;
  Endpoint peer;
  std::string failure_domain;
  MemberState state = MemberState::kStarting;
  bool operator==(const FleetMember&) const = default;
};

/// The live instances, as the leader sees them.
struct FleetView {
  /// Names the view; another id means another content.
  std::string id;
  std::vector<FleetMember> members;
};

}  // namespace jackdaw::serving
