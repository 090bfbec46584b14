#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_view.h"

namespace jackdaw::serving {

/// What last made an instance count as live.
enum class LifeSign : std::uint8_t {
  kHeartbeat,
  kRow,
  /// The view of the previous leader.
  kOldView,
  /// The table of the quotas' parts.
  kPartTable,
};

/// Returns the name of a sign of life, for the log.
std::string_view NameOf(LifeSign sign);

/// A member and the local time at which its last heartbeat or row was applied.
struct MemberRecord {
  Member member;
  Instant changed_at{};
  LifeSign sign = LifeSign::kHeartbeat;
};

/// The instances of the fleet, from their rows and heartbeats. A member is live
/// while newer heartbeats or rows of it arrive. Their age is measured with the
/// local clock only, so clock differences between machines do not matter.
class MemberTable {
 public:
  /// Forgets what the members reported of themselves, but not when: they may
  /// have been told more since, by another leader or from another epoch of the
  /// store.
  void ForgetReports();
  /// Removes members that have not changed since `before`.
  void RemoveSilent(Instant before);
  /// Applies the state of one member.
  /// @param sign kHeartbeat or kRow
  /// @returns false if a state as new or newer is already known
  bool OnHeartbeat(const Member& member,
                   Instant now,
                   LifeSign sign = LifeSign::kHeartbeat);
  /// Adds a member that a previous leader knew, so that it counts as live until
  /// its own heartbeat arrives or it stays silent for too long. A holder that
  /// is known only from the table of parts has no address (port 0); it is added
  /// only if nothing is known of it.
  void AddExpected(const FleetMember& member, Instant now);

  /// Returns the members that have not left and whose last change is less than
  /// kMaxSilence older than `now`.
  std::vector<MemberRecord> Live(Instant now) const;
  /// Returns the live members that accept new callers.
  std::vector<MemberRecord> Ready(Instant now) const;
  const std::map<std::string, MemberRecord>& all() const { return members_; }
  /// @returns null if the member is not known
  const MemberRecord* Find(const std::string& name) const;

 private:
  std::map<std::string, MemberRecord> members_;
};

}  // namespace jackdaw::serving
