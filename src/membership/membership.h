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

/// What is known of one incarnation of an instance. Only `kGone` is certain:
/// the platform lists a successor, or lists the name no longer.
enum class MemberState : std::uint8_t { kLive, kSuspect, kLeaving, kGone };

std::string_view Name(MemberState state);

/// News of one incarnation that instances pass on. The newer beat stands;
/// with equal beats the suspicion does.
struct MemberUpdate {
  std::string name;
  std::uint64_t incarnation = 0;
  bool suspect = false;
  std::uint64_t beat = 0;
};

/// Joins the platform's lagging list with direct evidence. Each instance is
/// watched by the few that follow it in the order of names; what they see
/// travels with heartbeats, so that the cost of a node does not grow with the
/// fleet. Pure.
class Membership {
 public:
  /// @param self name of this instance
  Membership(std::string self, std::uint64_t incarnation);

  /// The platform's list, as read now.
  void OnList(Instant now, std::span<const InstanceEntry> entries);

  /// A heartbeat arrived. @param beat round counter of the sender
  void OnHeartbeat(Instant now,
                   std::string_view name,
                   std::uint64_t incarnation,
                   bool leaving,
                   std::uint64_t beat);

  /// Another instance passed on what it holds of a third.
  void OnUpdate(Instant now, const MemberUpdate& update);

  /// Peers to write to in this round: those that watch this instance, and one
  /// farther away that carries news on. Raises the own beat.
  std::vector<std::string> NextRound(Instant now);

  /// News to send along, the least sent first.
  std::vector<MemberUpdate> UpdatesToSend();

  std::uint64_t beat() const { return beat_; }

  /// State of the newest incarnation of a name; kGone for an unknown one.
  MemberState StateOf(std::string_view name) const;

  /// True when this incarnation has certainly ended.
  bool IsGone(std::string_view name, std::uint64_t incarnation) const;

  /// True when an instance should be given to callers: neither leaving nor
  /// suspect. While most are suspect this instance is rather cut off itself,
  /// and suspicion counts for nothing.
  bool IsOffered(std::string_view name) const;

 private:
  struct Member {
    std::uint64_t incarnation = 0;
    bool listed_leaving = false;
    bool announced_leaving = false;
    bool suspect = false;
    std::uint64_t beat = 0;
    /// Moment of the last sign of life; when listed first, that moment.
    Instant last_seen_at{};
    /// Rounds in which the news of this member is still sent.
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
  std::size_t distance_ = 1;
};

}  // namespace jackdaw
