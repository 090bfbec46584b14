#include "gateway/crash_tracker.h"

#include <algorithm>
#include <functional>

namespace jackdaw::serving {
namespace {

// Time for which the crashes of a request are remembered after the last one.
constexpr Micros kRetention = std::chrono::minutes(10);
// Crashes remembered of one request or part.
constexpr std::size_t kMaxCrashesOfOne = 32;
// Tracked requests, at most.
constexpr std::size_t kMaxRequests = 2048;
// Shortest time from the crash of a target to the first request that its
// successor can crash on.
constexpr Micros kMinRestartTime = 1s;

constexpr std::uint64_t kDigestFactor = 0x9e3779b97f4a7c15ULL;

std::uint64_t IncarnationDigest(const Target& target) {
  const std::uint64_t digest = TargetDigest(target.entry.id) * kDigestFactor +
                               static_cast<std::uint64_t>(target.entry.born_ms);
  return digest == 0 ? 1 : digest;
}

}  // namespace

std::uint64_t RequestDigest(std::string_view request_target,
                            std::string_view caller,
                            std::string_view body) {
  const std::hash<std::string_view> hash;
  std::uint64_t digest = hash(request_target);
  digest = digest * kDigestFactor + hash(caller);
  return digest * kDigestFactor + hash(body);
}

bool CrashTracker::Request::HasSum() const {
  return reported_crashes > static_cast<int>(crashes.size());
}

bool CrashTracker::Request::IsPart() const {
  return !crashes.empty() && crashes.front().request != 0;
}

int CrashTracker::Request::Count() const {
  if (!IsPart()) {
    return std::max(static_cast<int>(crashes.size()), reported_crashes);
  }
  std::vector<PartCrash> of_part;
  for (const Crash& crash : crashes) {
    of_part.push_back({crash.target, crash.request, crash.at});
  }
  return std::max(CountPartCrashes(of_part), reported_crashes);
}

void CrashTracker::OnAttemptFailed(CrashSuspect suspect) {
  suspects_.Add(std::move(suspect));
}

void CrashTracker::OnTargetBytes(const Target& target,
                                 Instant opened_at,
                                 Instant now) {
  suspects_.OnTargetBytes(target, opened_at, now);
}

void CrashTracker::OnTargetAnswered(const Target& target, Instant now) {
  suspects_.OnTargetAnswered(target, now);
}

void CrashTracker::OnRequestAnswered(std::uint64_t digest) {
  suspects_.Remove(digest);
  if (requests_.erase(digest) == 0) {
    return;
  }
  ++revision_;
  if (unreported_answers_.size() < kMaxUnreportedAnswers) {
    unreported_answers_.push_back(digest);
  }
}

// A run that began before a crash proves nothing against it: the target may be
// of another release, or the request may crash only some.
bool CrashTracker::HasCrashSince(std::uint64_t digest, Instant since) const {
  if (suspects_.HasSuspectSince(digest, since)) {
    return true;
  }
  const auto found = requests_.find(digest);
  if (found == requests_.end()) {
    return false;
  }
  const Request& request = found->second;
  return (request.HasSum() && request.last_crash_at > since) ||
         std::ranges::any_of(request.crashes, [&](const Crash& crash) {
           return crash.at > since;
         });
}

void CrashTracker::OnAnswerComplete(const CrashCauses& causes,
                                    Instant sent_at,
                                    Instant now) {
  if (!HasCrashSince(causes.request, sent_at)) {
    OnRequestAnswered(causes.request);
  }
  for (const std::uint64_t part : causes.parts) {
    trusted_parts_.OnAnswer(part, now);
    if (requests_.contains(part)) {
      OnRequestAnswered(part);
      Forget(part, now);
      UpdateCrashingParts(now);
    }
  }
}

bool CrashTracker::TrustsParts(const CrashCauses& causes, Instant now) const {
  return std::ranges::all_of(causes.parts, [&](std::uint64_t part) {
    return trusted_parts_.Contains(part, now);
  });
}

// Holds the crash against the parts of the request's prompt, also against those
// that are trusted here: the leader may know of crashes elsewhere.
void CrashTracker::AddPartCrashes(const CrashSuspect& suspect, Instant now) {
  const std::uint64_t target = IncarnationDigest(*suspect.target);
  for (const std::uint64_t part : suspect.parts) {
    trusted_parts_.OnCrash(part, target);
    AddCrash(Remember(part, now),
             {target, suspect.ended_at, false, suspect.digest}, now);
  }
}

// Removes a request or part that is known to be sound.
void CrashTracker::Forget(std::uint64_t digest, Instant now) {
  revision_ += requests_.erase(digest);
  std::erase_if(crashing_parts_, [&](const CrashingPart& crashing) {
    return crashing.part == digest;
  });
  AddLift(digest, now);
}

void CrashTracker::AddLift(std::uint64_t digest, Instant now) {
  std::erase_if(lifts_, [&](const Lift& lift) {
    return lift.digest == digest || now - lift.at > kLiftTime;
  });
  lifts_.push_back({digest, now});
}

// Decides anew which parts explain the crashes, since a later crash may show
// that an earlier decision was wrong.
void CrashTracker::UpdateCrashingParts(Instant now) {
  std::vector<PartSuspicion> suspicions;
  for (const auto& [digest, request] : requests_) {
    if (request.IsPart() && now - request.last_crash_at <= kRetention) {
      PartSuspicion& suspicion = suspicions.emplace_back();
      suspicion.part = digest;
      for (const Crash& crash : request.crashes) {
        suspicion.crashes.push_back({crash.target, crash.request, crash.at});
      }
    }
  }
  const std::vector<CrashingPart> before = std::move(crashing_parts_);
  crashing_parts_ = FindCrashingParts(suspicions);
  for (const CrashingPart& crashing : before) {
    if (std::ranges::find(crashing_parts_, crashing.part,
                          &CrashingPart::part) == crashing_parts_.end()) {
      AddLift(crashing.part, now);
    }
  }
}

std::vector<CrashSuspect> CrashTracker::CountCrashes(Instant now) {
  const std::vector<CrashSuspect> under_parts = suspects_.TakePartCrashes(now);
  for (const CrashSuspect& suspect : under_parts) {
    AddPartCrashes(suspect, now);
  }
  if (!under_parts.empty()) {
    UpdateCrashingParts(now);
  }
  std::vector<CrashSuspect> found = suspects_.TakeCrashes(now);
  for (const CrashSuspect& suspect : found) {
    Request& request = Remember(suspect.digest, now);
    std::uint64_t target = IncarnationDigest(*suspect.target);
    // A target that was sent the request long after it had crashed has
    // restarted under the same id, which the registry did not know yet.
    for (const Crash& crash : request.crashes) {
      if (crash.target == target &&
          suspect.sent_at > crash.at + kMinRestartTime) {
        target = target * kDigestFactor + 1;
      }
    }
    AddCrash(request, {target, suspect.ended_at, false}, now);
  }
  return found;
}

// Adds a crash unless it is known.
void CrashTracker::AddCrash(Request& request, Crash crash, Instant now) {
  const bool known =
      std::ranges::any_of(request.crashes, [&](const Crash& other) {
        return other.target == crash.target && other.request == crash.request;
      });
  if (!known && request.crashes.size() < kMaxCrashesOfOne) {
    request.crashes.push_back(crash);
    request.last_crash_at = now;
    ++revision_;
  }
}

CrashTracker::Request& CrashTracker::Remember(std::uint64_t digest,
                                              Instant now) {
  if (requests_.size() >= kMaxRequests && !requests_.contains(digest)) {
    MakeRoom(now);
  }
  return requests_[digest];
}

// Removes the expired requests, and the less suspicious half if there are none.
void CrashTracker::MakeRoom(Instant now) {
  std::erase_if(requests_, [&](const Entry& entry) {
    return now - entry.second.last_crash_at > kRetention;
  });
  if (requests_.size() < kMaxRequests) {
    return;
  }
  const std::vector<const Entry*> entries = MostCrashesFirst(now);
  std::vector<std::uint64_t> removed;
  for (std::size_t i = kMaxRequests / 2; i < entries.size(); ++i) {
    removed.push_back(entries[i]->first);
  }
  for (const std::uint64_t digest : removed) {
    requests_.erase(digest);
  }
}

int CrashTracker::Crashes(std::uint64_t digest, Instant now) const {
  const auto found = requests_.find(digest);
  const bool known = found != requests_.end() &&
                     now - found->second.last_crash_at <= kRetention;
  return (known ? found->second.Count() : 0) + suspects_.CountTargets(digest);
}

bool CrashTracker::IsBlocked(std::uint64_t digest, Instant now) const {
  return Crashes(digest, now) >= kMaxCrashes;
}

// Returns the part with its group if requests with it are to be blocked.
std::optional<CrashingPart> CrashTracker::FindBlocked(std::uint64_t part,
                                                      Instant now) const {
  const auto own =
      std::ranges::find(crashing_parts_, part, &CrashingPart::part);
  if (own != crashing_parts_.end()) {
    return *own;
  }
  const auto found = requests_.find(part);
  if (found != requests_.end() &&
      found->second.reported_crashes >= kMaxCrashes &&
      now - found->second.last_crash_at <= kRetention) {
    return CrashingPart{part, found->second.reported_partner};
  }
  return std::nullopt;
}

// Returns whether no other part may be the cause of the part's crashes.
bool CrashTracker::IsToldApart(const CrashingPart& crashing,
                               Instant now) const {
  return crashing.partner == 0 || !FindBlocked(crashing.partner, now);
}

std::uint64_t CrashTracker::BlockedCause(const CrashCauses& causes,
                                         Instant now) const {
  if (IsBlocked(causes.request, now)) {
    return causes.request;
  }
  int blocked_parts = 0;
  for (const std::uint64_t part : causes.parts) {
    const auto blocked = FindBlocked(part, now);
    blocked_parts += blocked ? 1 : 0;
    if (blocked && (blocked_parts > 1 || IsToldApart(*blocked, now))) {
      return part;
    }
  }
  return 0;
}

std::vector<const CrashTracker::Entry*> CrashTracker::MostCrashesFirst(
    Instant now) const {
  std::vector<const Entry*> entries;
  for (const Entry& entry : requests_) {
    if (now - entry.second.last_crash_at <= kRetention) {
      entries.push_back(&entry);
    }
  }
  std::ranges::sort(entries, [](const Entry* a, const Entry* b) {
    const int crashes_a = a->second.Count();
    const int crashes_b = b->second.Count();
    return crashes_a != crashes_b
               ? crashes_a > crashes_b
               : a->second.last_crash_at > b->second.last_crash_at;
  });
  return entries;
}

}  // namespace jackdaw::serving
