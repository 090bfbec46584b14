#include "gateway/crash_suspects.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Bytes that arrive up to this time after the end of an attempt may have been
// sent before the target crashed.
constexpr Micros kMaxBytesInTransit = 150ms;
// A target counts as crashed if it stays silent for this time after it ended
// the connection. A crashed target takes longer to restart.
constexpr Micros kMaxSilence = 1s;
// Time for which an attempt that was given up is a suspect. By then the store
// has removed the entry of a target that crashed.
constexpr Micros kMaxSuspicion = 10s;
// Silence after which a crash is held against the parts of a prompt. It is
// shorter than kMaxSilence: one crash alone blocks no part.
constexpr Micros kMinPartSilence = 400ms;
// Suspects kept; beyond this the oldest are discarded.
constexpr std::size_t kMaxSuspects = 1024;

bool HasLeftAsPlanned(const CrashSuspect& suspect) {
  return suspect.target->entry.state == TargetState::kDraining ||
         suspect.target->notice.leaving();
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

void CrashSuspects::Remove(std::uint64_t digest) {
  std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
    return suspect.digest == digest;
  });
}

void CrashSuspects::OnTargetBytes(const Target& target,
                                  Instant opened_at,
                                  Instant now) {
  std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
    return suspect.target.get() == &target && opened_at < suspect.ended_at &&
           now > suspect.ended_at + kMaxBytesInTransit;
  });
}

void CrashSuspects::OnTargetAnswered(const Target& target, Instant now) {
  std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
    return suspect.target.get() == &target && suspect.connection_ended &&
           now > suspect.ended_at + kMaxBytesInTransit;
  });
}

std::vector<CrashSuspect> CrashSuspects::TakeCrashes(Instant now) {
  std::vector<CrashSuspect> crashes;
  std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
    if (HasLeftAsPlanned(suspect)) {
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

std::vector<CrashSuspect> CrashSuspects::TakePartCrashes(Instant now) {
  std::vector<CrashSuspect> crashes;
  for (CrashSuspect& suspect : suspects_) {
    const bool silent =
        suspect.connection_ended && now - suspect.ended_at >= kMinPartSilence;
    if (!suspect.parts_counted && !suspect.parts.empty() && silent &&
        !HasLeftAsPlanned(suspect)) {
      suspect.parts_counted = true;
      crashes.push_back(suspect);
    }
  }
  return crashes;
}

bool CrashSuspects::HasSuspectSince(std::uint64_t digest, Instant since) const {
  return std::ranges::any_of(suspects_, [&](const CrashSuspect& suspect) {
    return suspect.digest == digest && suspect.connection_ended &&
           suspect.ended_at > since;
  });
}

int CrashSuspects::CountTargets(std::uint64_t digest) const {
  std::vector<const Target*> targets;
  for (const CrashSuspect& suspect : suspects_) {
    if (suspect.digest == digest && suspect.connection_ended &&
        !HasLeftAsPlanned(suspect) &&
        std::ranges::find(targets, suspect.target.get()) == targets.end()) {
      targets.push_back(suspect.target.get());
    }
  }
  return static_cast<int>(targets.size());
}

}  // namespace jackdaw::serving
