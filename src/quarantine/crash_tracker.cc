#include "quarantine/crash_tracker.h"

#include <algorithm>

namespace jackdaw {
namespace {

// Maximum number of suspects. When it is reached, expired ones are dropped, or
// else the one that expires first.
constexpr std::size_t kMaxSuspects = 16'384;

}  // namespace

DispatchPermit CrashTracker::Check(Instant now,
                                   const std::string& digest) const {
  if (digest.empty()) {
    return DispatchPermit::kAllowed;
  }
  if (const auto found = suspects_.find(digest);
      found != suspects_.end() && found->second.until > now) {
    return found->second.quarantined ? DispatchPermit::kQuarantined
                                     : DispatchPermit::kNeedsClaim;
  }
  const auto entry = in_flight_.find(digest);
  return entry != in_flight_.end() && entry->second.unassessed_disconnects > 0
             ? DispatchPermit::kNeedsClaim
             : DispatchPermit::kAllowed;
}

void CrashTracker::OnDispatched(const std::string& digest,
                                std::string_view target) {
  if (!digest.empty()) {
    in_flight_[digest].targets.emplace_back(target);
  }
}

void CrashTracker::OnFinished(const std::string& digest,
                              std::string_view target) {
  const auto found = in_flight_.find(digest);
  if (found == in_flight_.end()) {
    return;
  }
  InFlight& entry = found->second;
  if (const auto at =
          std::find(entry.targets.begin(), entry.targets.end(), target);
      at != entry.targets.end()) {
    entry.targets.erase(at);
  }
  if (entry.targets.empty() && entry.unassessed_disconnects == 0) {
    in_flight_.erase(found);
  }
}

std::string_view CrashTracker::RunningTarget(const std::string& digest) const {
  const auto found = in_flight_.find(digest);
  return found == in_flight_.end() || found->second.targets.empty()
             ? std::string_view()
             : std::string_view(found->second.targets.front());
}

void CrashTracker::OnConnectionBroken(const std::string& digest) {
  if (!digest.empty()) {
    ++in_flight_[digest].unassessed_disconnects;
  }
}

void CrashTracker::OnDisconnectAssessed(const std::string& digest) {
  const auto found = in_flight_.find(digest);
  if (found == in_flight_.end()) {
    return;
  }
  --found->second.unassessed_disconnects;
  if (found->second.targets.empty() &&
      found->second.unassessed_disconnects <= 0) {
    in_flight_.erase(found);
  }
}

Suspect CrashTracker::OnCrash(Instant now,
                              const std::string& digest,
                              std::string_view target,
                              bool claimed,
                              Instant until) {
  Suspect crash{{}, until, false};
  crash.AddCrash(std::string(target), claimed);
  OnNotice(now, digest, crash);
  return suspects_.at(digest);
}

void CrashTracker::OnNotice(Instant now,
                            const std::string& digest,
                            const Suspect& suspect) {
  if (suspects_.size() >= kMaxSuspects && !suspects_.contains(digest)) {
    DropExpired(now);
  }
  Suspect& held = suspects_[digest];
  if (held.until <= now) {
    held = Suspect{};
  }
  held.Merge(suspect);
}

void CrashTracker::OnCleared(const std::string& digest) {
  const auto found = suspects_.find(digest);
  if (found != suspects_.end() && !found->second.quarantined) {
    suspects_.erase(found);
  }
}

std::optional<Suspect> CrashTracker::Find(Instant now,
                                          const std::string& digest) const {
  const auto found = suspects_.find(digest);
  return found == suspects_.end() || found->second.until <= now
             ? std::nullopt
             : std::optional(found->second);
}

void CrashTracker::DropExpired(Instant now) {
  std::erase_if(suspects_,
                [&](const auto& entry) { return entry.second.until <= now; });
  if (suspects_.size() >= kMaxSuspects) {
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.until < b.second.until;
                                     }));
  }
}

}  // namespace jackdaw
