// What instances tell each other of crashes.
#include <algorithm>

#include "gateway/crash_tracker.h"

namespace jackdaw::serving {
namespace {

// Crashes and answers in one report to the leader.
constexpr std::size_t kMaxReports = 64;
// Blocked requests in one report to other instances.
constexpr std::size_t kMaxBlockedReports = 64;
// Blocked and unblocked requests in one report to other instances.
constexpr std::size_t kMaxReplies = 128;
// Crashes in one report to the store, so that it fits into a row.
constexpr std::size_t kMaxStoredCrashes = 256;

bool IsAnswer(const CrashReport& report) {
  return report.target == 0 && report.crashes == 0;
}

}  // namespace

void CrashTracker::AddReports(std::span<const CrashReport> reports,
                              Instant now) {
  bool has_parts = false;
  for (const CrashReport& report : reports) {
    if (IsAnswer(report)) {
      OnAnswerReport(report.digest, now);
      continue;
    }
    if (IsContradicted(report, now)) {
      Contradict(report, now);
      continue;
    }
    Request& request = Remember(report.digest, now);
    if (report.target != 0) {
      has_parts |= report.request != 0;
      AddCrash(request, {report.target, now - report.age, true, report.request},
               now);
      continue;
    }
    request.reported_partner = report.partner;
    if (report.crashes > request.reported_crashes) {
      request.reported_crashes = report.crashes;
      request.sum_reported = true;
      request.last_crash_at = now;
      ++revision_;
    }
  }
  if (has_parts) {
    UpdateCrashingParts(now);
  }
}

// A request or part that has been answered elsewhere.
void CrashTracker::OnAnswerReport(std::uint64_t digest, Instant now) {
  const auto found = requests_.find(digest);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.IsPart()) {
    trusted_parts_.OnAnswer(digest, now);
  }
  Forget(digest, now);
  UpdateCrashingParts(now);
}

// Returns whether an answer to a request with the part is younger than the
// reported crash. An older one proves nothing: a part that was sound may have
// begun to crash targets.
bool CrashTracker::IsContradicted(const CrashReport& report,
                                  Instant now) const {
  return trusted_parts_.AnsweredSince(report.digest, now - report.age);
}

// Lets the reporter know that requests with the part are answered.
void CrashTracker::Contradict(const CrashReport& report, Instant now) {
  if (report.target != 0) {
    AddLift(report.digest, now);
  } else if (unreported_answers_.size() < kMaxUnreportedAnswers &&
             std::ranges::find(unreported_answers_, report.digest) ==
                 unreported_answers_.end()) {
    unreported_answers_.push_back(report.digest);
  }
}

std::uint64_t CrashTracker::PartnerOf(std::uint64_t part, Instant now) const {
  const auto blocked = FindBlocked(part, now);
  return blocked ? blocked->partner : 0;
}

CrashReport CrashTracker::Report(std::uint64_t digest,
                                 const Crash& crash,
                                 Instant now) {
  return {digest, crash.target, 1, crash.request,
          std::max(Micros(0), Micros(now - crash.at))};
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
      reports.push_back({entry->first, 0, request.reported_crashes, 0,
                         now - request.last_crash_at,
                         request.reported_partner});
    }
    for (const Crash& crash : request.crashes) {
      if (!crash.reported && reports.size() < kMaxReports) {
        reports.push_back(Report(entry->first, crash, now));
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
      crash.reported = crash.reported || (crash.target == report.target &&
                                          crash.request == report.request);
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
    const bool blocked = entry->second.IsPart()
                             ? FindBlocked(entry->first, now).has_value()
                             : crashes >= kMaxCrashes;
    if (blocked && reports.size() < kMaxBlockedReports) {
      reports.push_back({entry->first, 0, crashes, 0,
                         now - entry->second.last_crash_at,
                         PartnerOf(entry->first, now)});
    }
  }
  for (const Lift& lift : lifts_) {
    if (now - lift.at <= kLiftTime && !FindBlocked(lift.digest, now) &&
        reports.size() < kMaxReplies) {
      reports.push_back({lift.digest, 0, 0});
    }
  }
  return reports;
}

std::vector<CrashReport> CrashTracker::AllCrashes(Instant now) const {
  std::vector<CrashReport> reports;
  for (const Entry* entry : MostCrashesFirst(now)) {
    const Request& request = entry->second;
    if (request.HasSum()) {
      reports.push_back({entry->first, 0, request.reported_crashes, 0,
                         now - request.last_crash_at,
                         request.reported_partner});
    }
    for (const Crash& crash : request.crashes) {
      reports.push_back(Report(entry->first, crash, now));
    }
    if (reports.size() >= kMaxStoredCrashes) {
      reports.resize(kMaxStoredCrashes);
      break;
    }
  }
  return reports;
}

}  // namespace jackdaw::serving
