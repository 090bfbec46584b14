#include "gateway/crash_suspects.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Bytes that arrive up to this time after the end of an attempt may have been
// sent before the target crashed.
constexpr Micros kMaxBytesInTransit = 150ms;
// A target counts as crashed if it stays silent for this time after it ended
// the connection.
constexpr Micros kMaxSilence = 500ms;
// Time for which an attempt that was given up is a suspect. By then the store
// has removed the entry of a target that crashed.
constexpr Micros kMaxSuspicion = 10s;
// Suspects kept; beyond this the oldest are discarded.
constexpr std::size_t kMaxSuspects = 1024;

bool IsAlive(const CrashSuspect& suspect) {
  return suspect.target->last_received_at >
         suspect.ended_at + kMaxBytesInTransit;
}

bool HasLeftAsPlanned(const CrashSuspect& suspect) {
  return suspect.target->entry.state == TargetState::kDraining;
}

bool HasCrashed(const CrashSuspect& suspect, Instant now) {
  return suspect.target->ended ||
         (suspect.connection_ended && now - suspect.ended_at >= kMaxSilence);
}

}  // namespace

void CrashSuspects::Add(CrashSuspect suspect) {
  if (suspects_.size() >= kMaxSuspects) {
    suspects_.erase(suspects_.begin());
  }
  suspects_.push_back(std::move(suspect));
}

bool CrashSuspects::Remove(std::uint64_t digest) {
  return std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
           return suspect.digest == digest;
         }) > 0;
}

std::vector<CrashSuspect> CrashSuspects::TakeCrashes(Instant now) {
  std::vector<CrashSuspect> crashes;
  std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
    if (IsAlive(suspect) || HasLeftAsPlanned(suspect)) {
      return true;
    }
    if (HasCrashed(suspect, now)) {
      crashes.push_back(suspect);
      return true;
    }
    return now - suspect.ended_at > kMaxSuspicion;
  });
  return crashes;
}

int CrashSuspects::CountSilentTargets(std::uint64_t digest) const {
  std::vector<const Target*> silent;
  for (const CrashSuspect& suspect : suspects_) {
    if (suspect.digest == digest && suspect.connection_ended &&
        !IsAlive(suspect) && !HasLeftAsPlanned(suspect) &&
        std::ranges::find(silent, suspect.target.get()) == silent.end()) {
      silent.push_back(suspect.target.get());
    }
  }
  return static_cast<int>(silent.size());
}

}  // namespace jackdaw::serving
