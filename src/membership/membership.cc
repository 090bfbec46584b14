#include "membership/membership.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Number of instances that watch each instance.
constexpr std::size_t kWatchers = 2;
// Shortest distance along the ring to a peer that disseminates updates, but for
// the first round; beyond the watchers.
constexpr std::size_t kMinDistance = 4;
// Time without a heartbeat after which a watched instance becomes suspect.
constexpr Micros kSuspectTime = 2500ms;
// Number of rounds in which an update is sent.
constexpr int kUpdateRounds = 12;
// Maximum number of updates in one heartbeat.
constexpr std::size_t kUpdatesPerMessage = 4;

}  // namespace

std::string_view Name(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "gone";
}

Membership::Membership(std::string self, std::uint64_t incarnation)
    : self_(std::move(self)), incarnation_(incarnation) {}

void Membership::OnList(Instant now, std::span<const InstanceEntry> entries) {
  for (const auto& entry : entries) {
    Member& member = members_[entry.name];
    if (entry.incarnation > member.incarnation) {
      member = Member{};
      member.incarnation = entry.incarnation;
      member.last_seen_at = now;
    }
    member.listed_leaving = entry.state == InstanceState::kLeaving;
  }
  std::erase_if(members_, [&](const auto& item) {
    return std::none_of(
        entries.begin(), entries.end(),
        [&](const InstanceEntry& entry) { return entry.name == item.first; });
  });
}

void Membership::OnHeartbeat(Instant now,
                             std::string_view name,
                             std::uint64_t incarnation,
                             bool leaving,
                             std::uint64_t beat) {
  const auto found = members_.find(name);
  if (found == members_.end() || incarnation < found->second.incarnation) {
    return;
  }
  Member& member = found->second;
  if (incarnation > member.incarnation) {
    member = Member{};
    member.incarnation = incarnation;
  }
  member.announced_leaving = leaving;
  MarkAlive(member, beat, now);
}

// Records evidence of life and ends a suspicion. The caller checks that an
// update is newer than the evidence for the suspicion.
void Membership::MarkAlive(Member& member, std::uint64_t beat, Instant now) {
  member.last_seen_at = std::max(member.last_seen_at, now);
  if (member.suspect) {
    member.suspect = false;
    member.update_rounds = kUpdateRounds;
  }
  member.beat = std::max(member.beat, beat);
}

void Membership::MarkSuspect(Member& member) {
  if (!member.suspect) {
    member.suspect = true;
    member.update_rounds = kUpdateRounds;
  }
}

void Membership::OnUpdate(Instant now, const MemberUpdate& update) {
  if (update.name == self_) {
    // The next heartbeats of this instance carry a higher heartbeat number,
    // which refutes the suspicion.
    if (update.suspect && update.incarnation == incarnation_) {
      beat_ = std::max(beat_, update.beat);
      members_[self_].update_rounds = kUpdateRounds;
    }
    return;
  }
  const auto found = members_.find(update.name);
  if (found == members_.end() ||
      found->second.incarnation != update.incarnation) {
    return;
  }
  Member& member = found->second;
  if (update.suspect && update.beat >= member.beat) {
    member.beat = update.beat;
    MarkSuspect(member);
  } else if (!update.suspect && update.beat > member.beat) {
    MarkAlive(member, update.beat, now);
  }
}

// Returns the instances that follow this one in the ring of names; they watch
// it.
std::vector<std::string> Membership::Successors() const {
  std::vector<std::string> successors;
  auto it = members_.upper_bound(self_);
  while (successors.size() < std::min(kWatchers, members_.size())) {
    it = it == members_.end() ? members_.begin() : it;
    if (it->first == self_ || successors.size() >= members_.size() - 1) {
      break;
    }
    successors.push_back(it->first);
    ++it;
  }
  return successors;
}

// Returns whether this instance follows `name` closely enough to watch it.
bool Membership::IsWatchedBySelf(std::string_view name) const {
  auto it = members_.find(name);
  for (std::size_t i = 0; i < kWatchers && it != members_.end(); ++i) {
    ++it;
    it = it == members_.end() ? members_.begin() : it;
    if (it->first == self_) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> Membership::NextRound(Instant now) {
  ++beat_;
  for (auto& [name, member] : members_) {
    if (name != self_ && now - member.last_seen_at >= kSuspectTime &&
        IsWatchedBySelf(name)) {
      MarkSuspect(member);
    }
  }
  std::vector<std::string> peers = Successors();
  if (std::string distant = DistantPeer(); !distant.empty()) {
    peers.push_back(std::move(distant));
  }
  CheckInvariant(peers.size() <= kWatchers + 1,
                 "the number of peers of a round does not grow with the fleet");
  return peers;
}

// Returns the instance at a distance of 4, 8, 16 and so on along the ring (2 in
// the first round), one distance per round, so that an update reaches all
// instances in a number of rounds that is logarithmic in the size of the fleet.
std::string Membership::DistantPeer() {
  const std::size_t count = members_.size();
  const auto self = members_.find(self_);
  if (self == members_.end() || count <= kMinDistance) {
    return {};
  }
  distance_ = distance_ * 2 >= count ? kMinDistance : distance_ * 2;
  const auto at =
      static_cast<std::size_t>(std::distance(members_.begin(), self));
  return std::next(members_.begin(),
                   static_cast<std::ptrdiff_t>((at + distance_) % count))
      ->first;
}

std::vector<MemberUpdate> Membership::UpdatesToSend() {
  std::vector<std::pair<std::string, Member*>> fresh;
  for (auto& [name, member] : members_) {
    if (member.update_rounds > 0) {
      fresh.emplace_back(name, &member);
    }
  }
  std::stable_sort(fresh.begin(), fresh.end(),
                   [](const auto& a, const auto& b) {
                     return a.second->update_rounds > b.second->update_rounds;
                   });
  fresh.resize(std::min(fresh.size(), kUpdatesPerMessage));
  std::vector<MemberUpdate> updates;
  for (auto& [name, member] : fresh) {
    --member->update_rounds;
    updates.push_back(name == self_
                          ? MemberUpdate{self_, incarnation_, false, beat_}
                          : MemberUpdate{name, member->incarnation,
                                         member->suspect, member->beat});
  }
  return updates;
}

MemberState Membership::StateOf(std::string_view name) const {
  const auto found = members_.find(name);
  if (found == members_.end()) {
    return MemberState::kGone;
  }
  const Member& member = found->second;
  if (member.listed_leaving || member.announced_leaving) {
    return MemberState::kLeaving;
  }
  return member.suspect && name != self_ ? MemberState::kSuspect
                                         : MemberState::kLive;
}

bool Membership::IsGone(std::string_view name,
                        std::uint64_t incarnation) const {
  const auto found = members_.find(name);
  return !members_.empty() &&
         (found == members_.end() || found->second.incarnation > incarnation);
}

bool Membership::IsOffered(std::string_view name) const {
  const MemberState state = StateOf(name);
  if (state != MemberState::kSuspect) {
    return state == MemberState::kLive;
  }
  const auto suspects =
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& item) { return item.second.suspect; });
  return static_cast<std::size_t>(suspects) * 2 > members_.size();
}

}  // namespace jackdaw
