// The view of the live instances: who is in it, and what callers are given.
#include <algorithm>

#include "core/log.h"
#include "fleet/fleet_agent.h"

namespace jackdaw::serving {

void FleetAgent::SetView(FleetView view) {
  LogViewChange(view);
  view_ = std::move(view);
  retries_.SetInstances(static_cast<int>(view_.members.size()), clock_.Now());
}

// Logs each member that enters or leaves the view, with its last sign of life
// as this instance knows it.
void FleetAgent::LogViewChange(const FleetView& next) const {
  const Instant now = clock_.Now();
  const auto log_new = [&](std::string_view event, const FleetView& from,
                           const FleetView& other) {
    for (const FleetMember& member : from.members) {
      if (std::ranges::find(other.members, member.name, &FleetMember::name) !=
          other.members.end()) {
        continue;
      }
      const MemberRecord* known = members_.Find(member.name);
      Log(LogLevel::kInfo, event,
          {{"member", member.name},
           {"view", next.id},
           {"sign", known == nullptr ? std::string("none")
                                     : std::string(NameOf(known->sign))},
           {"sign_age_ms",
            known == nullptr
                ? ""
                : std::to_string((now - known->changed_at) / 1ms)}});
    }
  };
  log_new("member_joined", next, view_);
  log_new("member_left", view_, next);
}

}  // namespace jackdaw::serving
