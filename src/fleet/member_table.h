#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "fleet/fleet_view.h"

namespace jackdaw::serving {

/// What last showed that an instance lives.
enum class LifeSign : std::uint8_t {
  kNone,
  /// A heartbeat to this instance.
  kHeartbeat,
  /// The instance's row in the store.
  kRow,
  /// The view of a leader.
  kView,
};

/// Returns the name of a sign of life, for the log.
std::string_view NameOf(LifeSign sign);

/// A member, and when it lived.
struct MemberRecord {
  Member member;
  /// Local time at which this instance last learned something of the member. It
  /// may have ended long before, or live on.
  Instant learned_at{};
  /// Latest local time at which the member is known to have lived.
  Instant alive_at{};
  LifeSign sign = LifeSign::kNone;
};

/// The instances of the fleet, from their rows and heartbeats and from views.
///
/// A member is live while its newest sign of life is younger than kMaxSilence.
/// A sign is as old as what the member itself has sent, however late it is read
/// here; one of unknown age shows nothing. What is only expected of a member,
/// or remembered of it, is no sign of life.
class MemberTable {
 public:
  /// Applies the state that a member has sent to this instance just now.
  /// @returns false if a state as new or newer is already known
  bool OnHeartbeat(const Member& member, Instant now) {
    return OnReport(member, LifeSign::kHeartbeat, now, now);
  }
  /// Applies the state of a member.
  /// @param alive_at local time at which the member sent it; Instant{} if
  /// unknown
  /// @returns false if a state as new or newer is already known
  bool OnReport(const Member& member,
                LifeSign sign,
                Instant alive_at,
                Instant now);
  /// Applies a leader's view.
  /// @param silent members that the leader has not heard for a while
  /// @param confirmed_at latest local time at which the view certainly held
  void OnView(const FleetView& view,
              std::span<const MemberSilence> silent,
              Instant confirmed_at);
  /// Forgets what the members reported of themselves, but not when: they may
  /// have been told more since, by another leader or from another epoch of the
  /// store.
  void ForgetReports();
  /// Removes members of which nothing was learned since `before`.
  void RemoveSilent(Instant before);
  /// Adds a member that a previous leader knew. It may live, so that its parts
  /// of the quotas are not given to others yet; that it lives is not known. A
  /// holder that is known only from the table of parts has no address (port 0).
  void AddExpected(const FleetMember& member, Instant now);

  /// Returns the members that certainly live: they have not left, and their
  /// last sign of life is less than kMaxSilence old.
  std::vector<const MemberRecord*> Live(Instant now) const;
  /// Returns the live members that accept new callers.
  std::vector<const MemberRecord*> Ready(Instant now) const;
  /// Returns the members that may live: they have not left, and something was
  /// learned of them less than kMaxSilence ago.
  std::vector<const MemberRecord*> MayLive(Instant now) const;
  /// Returns the live members whose last sign of life is so old that a receiver
  /// of the view is told its age.
  std::vector<MemberSilence> Silent(Instant now) const;
  const std::map<std::string, MemberRecord>& all() const { return members_; }
  /// @returns null if the member is not known
  const MemberRecord* Find(const std::string& name) const;

 private:
  std::map<std::string, MemberRecord> members_;
};

}  // namespace jackdaw::serving
