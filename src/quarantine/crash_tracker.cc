#include "quarantine/crash_tracker.h"

#include <algorithm>

namespace jackdaw {
namespace {

// Suspects kept; beyond it the one that expires first makes room.
constexpr std::size_t kMaxSuspects = 16'384;

}  // namespace

RunPermit CrashLedger::Check(Instant now, const std::string& digest) const {
  if (digest.empty()) {
    return RunPermit::kFree;
  }
  if (const auto found = suspects_.find(digest);
      found != suspects_.end() && found->second.until > now) {
    return found->second.quarantined ? RunPermit::kQuarantined
                                     : RunPermit::kNeedsClaim;
  }
  const auto run = runs_.find(digest);
  return run != runs_.end() && run->second.unjudged_breaks > 0
             ? RunPermit::kNeedsClaim
             : RunPermit::kFree;
}

void CrashLedger::OnDispatched(const std::string& digest,
                               std::string_view target) {
  if (!digest.empty()) {
    runs_[digest].targets.emplace_back(target);
  }
}

void CrashLedger::OnFinished(const std::string& digest,
                             std::string_view target) {
  const auto found = runs_.find(digest);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  if (const auto at = std::find(run.targets.begin(), run.targets.end(), target);
      at != run.targets.end()) {
    run.targets.erase(at);
  }
  if (run.targets.empty() && run.unjudged_breaks == 0) {
    runs_.erase(found);
  }
}

std::string_view CrashLedger::RunningAt(const std::string& digest) const {
  const auto found = runs_.find(digest);
  return found == runs_.end() || found->second.targets.empty()
             ? std::string_view()
             : std::string_view(found->second.targets.front());
}

void CrashLedger::OnBroken(const std::string& digest) {
  if (!digest.empty()) {
    ++runs_[digest].unjudged_breaks;
  }
}

void CrashLedger::OnBreakJudged(const std::string& digest) {
  const auto found = runs_.find(digest);
  if (found == runs_.end()) {
    return;
  }
  --found->second.unjudged_breaks;
  if (found->second.targets.empty() && found->second.unjudged_breaks <= 0) {
    runs_.erase(found);
  }
}

Suspect CrashLedger::OnCrash(Instant now,
                             const std::string& digest,
                             std::string_view target,
                             bool claimed,
                             Instant until) {
  Suspect crash{{}, until, false};
  crash.AddCrash(std::string(target), claimed);
  OnNotice(now, digest, crash);
  return suspects_.at(digest);
}

void CrashLedger::OnNotice(Instant now,
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

void CrashLedger::OnCleared(const std::string& digest) {
  const auto found = suspects_.find(digest);
  if (found != suspects_.end() && !found->second.quarantined) {
    suspects_.erase(found);
  }
}

std::optional<Suspect> CrashLedger::Find(Instant now,
                                         const std::string& digest) const {
  const auto found = suspects_.find(digest);
  return found == suspects_.end() || found->second.until <= now
             ? std::nullopt
             : std::optional(found->second);
}

void CrashLedger::DropExpired(Instant now) {
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
