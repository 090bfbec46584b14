#include "fleet/member_table.h"

namespace jackdaw::serving {
namespace {

// Time without a change after which a member no longer counts as live.
constexpr Micros kSilence = 3500ms;

}  // namespace

void MemberTable::OnRead(std::vector<Member> members, Instant now) {
  std::map<std::string, MemberView> next;
  for (Member& member : members) {
    const auto known = members_.find(member.name);
    MemberView view{std::move(member), now};
    if (known != members_.end()) {
      const Member& old = known->second.member;
      const bool same_boot = old.boot == view.member.boot;
      if (same_boot && old.beat >= view.member.beat) {
        view = known->second;
      }
    }
    next.emplace(view.member.name, std::move(view));
  }
  members_ = std::move(next);
}

void MemberTable::OnOwn(const Member& member, Instant now) {
  members_[member.name] = {member, now};
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
