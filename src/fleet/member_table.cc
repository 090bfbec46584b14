#include "fleet/member_table.h"

namespace jackdaw::serving {
namespace {

// Time without a change after which a member no longer counts as live.
constexpr Micros kSilence = 3500ms;

}  // namespace

void MemberTable::OnRead(const std::vector<Member>& members, Instant now) {
  for (const Member& member : members) {
    OnBeat(member, now);
  }
}

bool MemberTable::OnBeat(const Member& member, Instant now) {
  const auto known = members_.find(member.name);
  if (known != members_.end()) {
    const Member& old = known->second.member;
    if (old.boot == member.boot && old.beat >= member.beat) {
      return false;
    }
  }
  members_[member.name] = {member, now};
  return true;
}

void MemberTable::Expect(const FleetMember& member, Instant now) {
  MemberView& view = members_[member.name];
  const bool has_told = !view.member.boot.empty();
  if (!has_told) {
    view.member.name = member.name;
    view.member.shares_epoch = -1;
  }
  if (member.entry.port() != 0) {
    view.member.entry = member.entry;
    view.member.peer = member.peer;
    view.member.failure_domain = member.failure_domain;
    view.member.state = member.state;
    view.changed_at = now;
  } else if (!has_told) {
    view.changed_at = now;
  }
}

void MemberTable::Forget(Instant before) {
  std::erase_if(members_, [&](const auto& item) {
    return item.second.changed_at < before;
  });
}

std::vector<MemberView> MemberTable::Live(Instant read_at) const {
  std::vector<MemberView> live;
  for (const auto& [name, view] : members_) {
    if (view.member.state != MemberState::kGone &&
        read_at - view.changed_at < kSilence) {
      live.push_back(view);
    }
  }
  return live;
}

std::vector<MemberView> MemberTable::Ready(Instant read_at) const {
  std::vector<MemberView> ready = Live(read_at);
  std::erase_if(ready, [](const MemberView& view) {
    return view.member.state != MemberState::kReady;
  });
  return ready;
}

const MemberView* MemberTable::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

}  // namespace jackdaw::serving
