#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// State of one incarnation of an instance. The platform's list or the instance
/// itself determines each state but `kSuspect`, which is based on missing
/// heartbeats. `kGone` means that the name is not listed.
enum class MemberState : std::uint8_t { kLive, kSuspect, kLeaving, kGone };

std::string_view Name(MemberState state);

/// Update on one incarnation that instances disseminate. Of two updates the one
/// with the higher heartbeat number takes precedence; if the numbers are equal,
/// the one that suspects.
struct MemberUpdate {
  std::string name;
  std::uint64_t incarnation = 0;
  bool suspect = false;
  /// Heartbeat number of the instance; increases with each of its rounds.
  std::uint64_t beat = 0;
};

/// Combines the platform's delayed instance list with the heartbeats received.
/// Each instance is watched by the few that follow it in the ring of names.
/// Their updates are disseminated with heartbeats, so that the cost per
/// instance does not grow with the fleet. Does no I/O and has no clock.
class Membership {
 public:
  /// @param self name of this instance
  Membership(std::string self, std::uint64_t incarnation);

  /// Applies the platform's list, as read now.
  void OnList(Instant now, std::span<const InstanceEntry> entries);

  /// Applies a received heartbeat. @param beat heartbeat number of the sender
  void OnHeartbeat(Instant now,
                   std::string_view name,
                   std::uint64_t incarnation,
                   bool leaving,
                   std::uint64_t beat);

  /// Applies an update on an instance that a peer passed on.
  void OnUpdate(Instant now, const MemberUpdate& update);

  /// Starts a round and increments the own heartbeat number. Returns the peers
  /// to send heartbeats to: those that watch this instance, and one farther
  /// away that disseminates updates.
  std::vector<std::string> NextRound(Instant now);

  /// Returns the updates to send with the heartbeats of a round, the least
  /// often sent first.
  std::vector<MemberUpdate> UpdatesToSend();

  /// Returns the heartbeat number of this instance.
  std::uint64_t beat() const { return beat_; }

  /// Returns the state of the newest incarnation of a name; kGone for an
  /// unknown name.
  MemberState StateOf(std::string_view name) const;

  /// Returns whether this incarnation has ended: the list has no such name, or
  /// a newer incarnation is known. As the list is delayed, this also holds for
  /// an instance that is not listed yet; DepartureTracker adds a delay for
  /// callers that need certainty.
  bool IsGone(std::string_view name, std::uint64_t incarnation) const;

  /// Returns whether callers may be directed to an instance: it must be neither
  /// leaving nor suspect. While more than half of the instances are suspect,
  /// this instance is probably isolated itself, and suspicions are ignored.
  bool IsOffered(std::string_view name) const;

 private:
  struct Member {
    std::uint64_t incarnation = 0;
    bool listed_leaving = false;
    bool announced_leaving = false;
    bool suspect = false;
    std::uint64_t beat = 0;
    /// Time of the last evidence of life, or of the first listing.
    Instant last_seen_at{};
    /// Number of rounds in which the update on this member is still sent.
    int update_rounds = 0;
  };
  void MarkSuspect(Member& member);
  void MarkAlive(Member& member, std::uint64_t beat, Instant now);
  std::vector<std::string> Successors() const;
  std::string DistantPeer();
  bool IsWatchedBySelf(std::string_view name) const;

  std::string self_;
  std::uint64_t incarnation_;
  std::uint64_t beat_ = 0;
  std::map<std::string, Member, std::less<>> members_;
  // Distance of the last peer chosen by DistantPeer.
  std::size_t distance_ = 1;
};

}  // namespace jackdaw
