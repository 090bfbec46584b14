#include "fleet/member_table.h"

namespace jackdaw::serving {
namespace {

// A member whose state has not changed for this time is no longer live.
constexpr Micros kMaxSilence = 3500ms;

}  // namespace

std::string_view NameOf(LifeSign sign) {
  switch (sign) {
    case LifeSign::kHeartbeat:
      return "heartbeat";
    case LifeSign::kRow:
      return "row";
    case LifeSign::kOldView:
      return "old_view";
    case LifeSign::kPartTable:
      return "part_table";
  }
  return "unknown";
}

bool MemberTable::OnHeartbeat(const Member& member,
                              Instant now,
                              LifeSign sign) {
  const auto known = members_.find(member.name);
  if (known != members_.end()) {
    const Member& old = known->second.member;
    if (old.boot_id == member.boot_id &&
        old.heartbeat_number >= member.heartbeat_number) {
      return false;
    }
  }
  members_[member.name] = {member, now, sign};
  return true;
}

void MemberTable::AddExpected(const FleetMember& member, Instant now) {
  MemberRecord& record = members_[member.name];
  const bool has_reported = !record.member.boot_id.empty();
  if (!has_reported) {
    record.member.name = member.name;
    record.member.parts_epoch = -1;
  }
  if (member.entry.port() != 0) {
    record.member.entry = member.entry;
    record.member.peer = member.peer;
    record.member.failure_domain = member.failure_domain;
    record.member.state = member.state;
    record.changed_at = now;
    record.sign = LifeSign::kOldView;
  } else if (!has_reported) {
    record.changed_at = now;
    record.sign = LifeSign::kPartTable;
  }
}

void MemberTable::ForgetReports() {
  for (auto& [name, record] : members_) {
    record.member.boot_id.clear();
    record.member.heartbeat_number = 0;
    record.member.parts_epoch = -1;
    record.member.parts.reset();
  }
}

void MemberTable::RemoveSilent(Instant before) {
  std::erase_if(members_, [&](const auto& item) {
    return item.second.changed_at < before;
  });
}

std::vector<MemberRecord> MemberTable::Live(Instant now) const {
  std::vector<MemberRecord> live;
  for (const auto& [name, record] : members_) {
    if (record.member.state != MemberState::kGone &&
        now - record.changed_at < kMaxSilence) {
      live.push_back(record);
    }
  }
  return live;
}

std::vector<MemberRecord> MemberTable::Ready(Instant now) const {
  std::vector<MemberRecord> ready = Live(now);
  std::erase_if(ready, [](const MemberRecord& record) {
    return record.member.state != MemberState::kReady;
  });
  return ready;
}

const MemberRecord* MemberTable::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

}  // namespace jackdaw::serving
