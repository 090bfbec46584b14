#include "gateway/crash_tracker.h"

#include <algorithm>
#include <functional>

namespace jackdaw::serving {
namespace {

// Crashed targets after which a request is no longer sent.
constexpr int kMaxCrashes = 3;
// Time for which the crashes of a request are remembered after the last one.
constexpr Micros kRetention = std::chrono::minutes(10);
// Tracked requests, at most.
constexpr std::size_t kMaxRequests = 2048;
// Shortest time from the crash of a target to the first request that its
// successor can crash on.
constexpr Micros kMinRestartTime = 1s;
// Crashes and answers in one report to the leader.
constexpr std::size_t kMaxReports = 64;
// Blocked requests in one report to other instances.
constexpr std::size_t kMaxBlockedReports = 64;
// Crashes in one report to the store, so that it fits into a row.
constexpr std::size_t kMaxStoredCrashes = 256;
// Requests whose answer waits to be reported.
constexpr std::size_t kMaxUnreportedAnswers = 256;

constexpr std::uint64_t kDigestFactor = 0x9e3779b97f4a7c15ULL;

std::uint64_t IncarnationDigest(const Target& target) {
  const std::uint64_t digest = TargetDigest(target.entry.id) * kDigestFactor +
                               static_cast<std::uint64_t>(target.entry.born_ms);
  return digest == 0 ? 1 : digest;
}

bool IsAnswer(const CrashReport& report) {
  return report.target == 0 && report.crashes == 0;
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

int CrashTracker::Request::Count() const {
  return std::max(static_cast<int>(crashes.size()), reported_crashes);
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

std::vector<CrashSuspect> CrashTracker::CountCrashes(Instant now) {
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
  if (std::ranges::find(request.crashes, crash.target, &Crash::target) ==
      request.crashes.end()) {
    request.crashes.push_back(crash);
    request.last_crash_at = now;
    ++revision_;
  }
}

void CrashTracker::AddReports(std::span<const CrashReport> reports,
                              Instant now) {
  for (const CrashReport& report : reports) {
    if (IsAnswer(report)) {
      revision_ += requests_.erase(report.digest);
      continue;
    }
    Request& request = Remember(report.digest, now);
    if (report.target != 0) {
      AddCrash(request, {report.target, now, true}, now);
    } else if (report.crashes > request.reported_crashes) {
      request.reported_crashes = report.crashes;
      request.sum_reported = true;
      request.last_crash_at = now;
      ++revision_;
    }
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

std::vector<CrashReport> CrashTracker::Unreported(Instant now) const {
  std::vector<CrashReport> reports;
  for (const std::uint64_t digest : unreported_answers_) {
    if (reports.size() < kMaxReports) {
      reports.push_back({digest, 0, 0});
    }
  }
  for (const Entry* entry : MostCrashesFirst(now)) {
    const Request& request = entry->second;
    if (request.HasSum() && !request.sum_reported &&
        reports.size() < kMaxReports) {
      reports.push_back({entry->first, 0, request.reported_crashes});
    }
    for (const Crash& crash : request.crashes) {
      if (!crash.reported && reports.size() < kMaxReports) {
        reports.push_back({entry->first, crash.target, 1});
      }
    }
  }
  return reports;
}

void CrashTracker::OnReported(std::span<const CrashReport> reports) {
  for (const CrashReport& report : reports) {
    if (IsAnswer(report)) {
      std::erase(unreported_answers_, report.digest);
      continue;
    }
    const auto found = requests_.find(report.digest);
    if (found == requests_.end()) {
      continue;
    }
    Request& request = found->second;
    request.sum_reported = request.sum_reported || report.target == 0;
    for (Crash& crash : request.crashes) {
      crash.reported = crash.reported || crash.target == report.target;
    }
  }
}

void CrashTracker::ReportAgain() {
  for (auto& [digest, request] : requests_) {
    request.sum_reported = false;
    for (Crash& crash : request.crashes) {
      crash.reported = false;
    }
  }
}

std::vector<CrashReport> CrashTracker::BlockedRequests(Instant now) const {
  std::vector<CrashReport> reports;
  for (const Entry* entry : MostCrashesFirst(now)) {
    const int crashes = entry->second.Count();
    if (crashes >= kMaxCrashes && reports.size() < kMaxBlockedReports) {
      reports.push_back({entry->first, 0, crashes});
    }
  }
  return reports;
}

std::vector<CrashReport> CrashTracker::AllCrashes(Instant now) const {
  std::vector<CrashReport> reports;
  for (const Entry* entry : MostCrashesFirst(now)) {
    const Request& request = entry->second;
    if (request.HasSum()) {
      reports.push_back({entry->first, 0, request.reported_crashes});
    }
    for (const Crash& crash : request.crashes) {
      reports.push_back({entry->first, crash.target, 1});
    }
    if (reports.size() >= kMaxStoredCrashes) {
      reports.resize(kMaxStoredCrashes);
      break;
    }
  }
  return reports;
}

}  // namespace jackdaw::serving
