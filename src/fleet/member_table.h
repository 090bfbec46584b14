#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_view.h"

namespace jackdaw::serving {

/// A member and when its row was last seen to change.
struct MemberRecord {
  Member member;
  Instant changed_at{};
};

/// The instances of the fleet, from their rows. A member counts as live while
/// its row changes; clocks of other machines play no part.
class MemberTable {
 public:
  /// Takes the rows of one read of the table.
  void OnRows(const std::vector<Member>& members, Instant now);
  /// Forgets members that have been silent for long.
  void RemoveSilent(Instant before);
  /// One member told of itself. @returns false for what is older than known
  bool OnHeartbeat(const Member& member, Instant now);
  /// A member that may be there and has not told of itself lately.
  void AddExpected(const FleetMember& member, Instant now);

  /// Members whose rows changed lately and that have not gone.
  /// @param read_at last moment at which the rows were read; rows do not age
  /// while they cannot be read
  std::vector<MemberRecord> Live(Instant read_at) const;
  /// Members that take new callers.
  std::vector<MemberRecord> Ready(Instant read_at) const;
  const std::map<std::string, MemberRecord>& all() const { return members_; }
  const MemberRecord* Find(const std::string& name) const;

 private:
  std::map<std::string, MemberRecord> members_;
};

}  // namespace jackdaw::serving
