#include "fleet/member_table.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace jackdaw::serving {
namespace {

// A member without a sign of life for this time is no longer live.
constexpr Micros kMaxSilence = 3500ms;
// Silence of a live member that a receiver of the view is told. It is longer
// than the interval of heartbeats.
constexpr Micros kNotableSilence = 1200ms;

bool HasAddress(const MemberRecord& record) {
  return record.member.entry.port() != 0;
}

bool HasReported(const MemberRecord& record) {
  return !record.member.boot_id.empty();
}

// Returns whether a report is newer than what is known of the member. Reports
// of one run are numbered; those of different runs compare by the store's time.
bool IsNewer(const Member& report, const Member& known, bool age_known) {
  if (report.boot_id == known.boot_id) {
    return report.heartbeat_number > known.heartbeat_number;
  }
  const bool comparable = report.sent_at.known() && known.sent_at.known() &&
                          report.sent_at.epoch == known.sent_at.epoch;
  return comparable ? report.sent_at.ms >= known.sent_at.ms : age_known;
}

}  // namespace

std::string_view NameOf(LifeSign sign) {
  switch (sign) {
    case LifeSign::kNone:
      return "none";
    case LifeSign::kHeartbeat:
      return "heartbeat";
    case LifeSign::kRow:
      return "row";
    case LifeSign::kView:
      return "view";
  }
  return "unknown";
}

bool MemberTable::OnReport(const Member& member,
                           LifeSign sign,
                           Instant alive_at,
                           Instant now) {
  MemberRecord& record = members_[member.name];
  if (HasReported(record) &&
      !IsNewer(member, record.member, alive_at != Instant{})) {
    return false;
  }
  record.member = member;
  record.learned_at = now;
  if (alive_at > record.alive_at) {
    record.alive_at = alive_at;
    record.sign = sign;
  }
  return true;
}

void MemberTable::OnView(const FleetView& view,
                         std::span<const MemberSilence> silent,
                         Instant confirmed_at) {
  std::set<std::string_view> in_view;
  for (const FleetMember& member : view.members) {
    in_view.insert(member.name);
  }
  for (auto& [name, record] : members_) {
    // The leader has dropped those that are not in its view any more.
    if (record.sign == LifeSign::kView && record.alive_at <= confirmed_at &&
        !in_view.contains(name)) {
      record.alive_at = Instant{};
      record.sign = LifeSign::kNone;
    }
  }
  for (const FleetMember& member : view.members) {
    const auto silence =
        std::ranges::find(silent, member.name, &MemberSilence::name);
    const Instant alive_at =
        silence == silent.end() ? confirmed_at : confirmed_at - silence->age;
    MemberRecord& record = members_[member.name];
    if (alive_at < record.alive_at) {
      continue;
    }
    record.member.name = member.name;
    record.member.entry = member.entry;
    record.member.peer = member.peer;
    record.member.failure_domain = member.failure_domain;
    record.member.state = member.state;
    if (!HasReported(record)) {
      record.member.parts_epoch = -1;
    }
    record.learned_at = std::max(record.learned_at, alive_at);
    record.alive_at = alive_at;
    record.sign = LifeSign::kView;
  }
}

void MemberTable::AddExpected(const FleetMember& member, Instant now) {
  MemberRecord& record = members_[member.name];
  const bool has_reported = HasReported(record);
  if (!has_reported) {
    record.member.name = member.name;
    record.member.parts_epoch = -1;
  }
  if (member.entry.port() != 0) {
    record.member.entry = member.entry;
    record.member.peer = member.peer;
    record.member.failure_domain = member.failure_domain;
    record.member.state = member.state;
    record.learned_at = now;
  } else if (!has_reported) {
    record.learned_at = now;
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
    return item.second.learned_at < before;
  });
}

std::vector<const MemberRecord*> MemberTable::Live(Instant now) const {
  std::vector<const MemberRecord*> live;
  for (const auto& [name, record] : members_) {
    if (record.member.state != MemberState::kGone && HasAddress(record) &&
        record.alive_at != Instant{} && now - record.alive_at < kMaxSilence) {
      live.push_back(&record);
    }
  }
  return live;
}

std::vector<const MemberRecord*> MemberTable::Ready(Instant now) const {
  std::vector<const MemberRecord*> ready = Live(now);
  std::erase_if(ready, [](const MemberRecord* record) {
    return record->member.state != MemberState::kReady;
  });
  return ready;
}

std::vector<const MemberRecord*> MemberTable::MayLive(Instant now) const {
  std::vector<const MemberRecord*> members;
  for (const auto& [name, record] : members_) {
    if (record.member.state != MemberState::kGone &&
        now - record.learned_at < kMaxSilence) {
      members.push_back(&record);
    }
  }
  return members;
}

std::vector<MemberSilence> MemberTable::Silent(Instant now) const {
  std::vector<MemberSilence> silent;
  for (const MemberRecord* record : Live(now)) {
    if (now - record->alive_at > kNotableSilence) {
      silent.push_back({record->member.name, now - record->alive_at});
    }
  }
  return silent;
}

const MemberRecord* MemberTable::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

}  // namespace jackdaw::serving
