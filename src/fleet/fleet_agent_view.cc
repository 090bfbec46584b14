// The view of the live instances, at the leader and at its followers.
#include <set>

#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/row_log.h"

namespace jackdaw::serving {

void FleetAgent::SetView(FleetView view) {
  LogViewChange(view);
  view_ = std::move(view);
  retries_.SetInstances(static_cast<int>(view_.members.size()), clock_.Now());
}

// The view was in force at a leader at `confirmed_at`.
void FleetAgent::ConfirmView(std::span<const MemberSilence> silent,
                             Instant confirmed_at) {
  view_confirmed_at_ = confirmed_at;
  members_.OnView(view_, silent, confirmed_at);
}

// Logs a new view. The leader, which has made it, also logs each member that
// enters or leaves it, with the last sign of life.
void FleetAgent::LogViewChange(const FleetView& next) const {
  Log(LogLevel::kInfo, "view",
      {{"view", next.id}, {"members", std::to_string(next.members.size())}});
  if (!leadership_.HoldsLease()) {
    return;
  }
  const Instant now = clock_.Now();
  const auto log_new = [&](std::string_view event, const FleetView& from,
                           const FleetView& other) {
    std::set<std::string_view> known;
    for (const FleetMember& member : other.members) {
      known.insert(member.name);
    }
    for (const FleetMember& member : from.members) {
      const MemberRecord* record = members_.Find(member.name);
      if (known.contains(member.name) || record == nullptr) {
        continue;
      }
      Log(LogLevel::kInfo, event,
          {{"member", member.name},
           {"view", next.id},
           {"sign", std::string(NameOf(record->sign))},
           {"sign_age_ms", std::to_string((now - record->alive_at) / 1ms)}});
    }
  };
  log_new("member_joined", next, view_);
  log_new("member_left", view_, next);
}

void FleetAgent::OnViewRow(const platform::StoredRow& row) {
  if (leadership_.HoldsLease() || row.version <= view_row_version_) {
    return;
  }
  view_row_version_ = row.version;
  auto view = DecodeViewRow(row.value);
  LogUnreadable(row, view);
  if (view) {
    stored_view_ = std::move(view.value());
  }
}

// The view in the store held when the leader last renewed its lease. It does
// not replace one that a leader has told since.
void FleetAgent::ConfirmStoredView() {
  if (leadership_.HoldsLease() || !stored_view_) {
    return;
  }
  const LeaderLease& lease = leadership_.lease();
  const auto confirmed_at =
      store_clock_.ToLocal(lease.renewed_at, clock_.Now());
  const bool newer = confirmed_at && *confirmed_at > view_confirmed_at_;
  if (!newer && !view_.id.empty()) {
    return;
  }
  if (stored_view_->id != view_.id) {
    SetView(*stored_view_);
  }
  if (newer) {
    ConfirmView(lease.silent, *confirmed_at);
  }
}

// Updates the view of the live members if this instance leads.
void FleetAgent::RefreshView() {
  if (!leadership_.HoldsLease()) {
    return;
  }
  FleetView view;
  for (const MemberRecord* record : members_.Live(clock_.Now())) {
    const Member& member = record->member;
    view.members.push_back({member.name, member.entry, member.peer,
                            member.failure_domain, member.state});
  }
  if (view.members == view_.members && !view_.id.empty()) {
    return;
  }
  ++view_sequence_;
  view.id =
      settings_.name + "/" + boot_id_ + "/" + std::to_string(view_sequence_);
  SetView(std::move(view));
}

}  // namespace jackdaw::serving
