#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_view.h"

namespace jackdaw::serving {

/// A member and the time at which its state was last seen to change.
struct MemberRecord {
  Member member;
  Instant changed_at{};
};

/// The instances of the fleet, from their rows and heartbeats. A member is live
/// while its state keeps changing. Its age is measured with the local clock
/// only, so clock differences between machines do not matter.
class MemberTable {
 public:
  /// Applies the rows of one read of the table.
  void OnRows(const std::vector<Member>& members, Instant now);
  /// Removes members that have not changed since `before`.
  void RemoveSilent(Instant before);
  /// Applies the state of one member.
  /// @returns false if a state as new or newer is already known
  bool OnHeartbeat(const Member& member, Instant now);
  /// Adds a member that a previous leader knew, so that it counts as live until
  /// its own heartbeat arrives or it stays silent for too long. An entry
  /// without an address does not overwrite what is known.
  void AddExpected(const FleetMember& member, Instant now);

  /// Returns the members that have changed recently and have not left.
  /// @param read_at time of the last read of the rows; rows do not age while
  /// they cannot be read
  std::vector<MemberRecord> Live(Instant read_at) const;
  /// Returns the live members that accept new callers.
  std::vector<MemberRecord> Ready(Instant read_at) const;
  const std::map<std::string, MemberRecord>& all() const { return members_; }
  /// @returns null if the member is not known
  const MemberRecord* Find(const std::string& name) const;

 private:
  std::map<std::string, MemberRecord> members_;
};

}  // namespace jackdaw::serving
