// Announcements of targets in their responses.
#include <algorithm>

#include "core/log.h"
#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

// Targets that are told to other instances at a time, the newest ones first.
constexpr std::size_t kMaxLeavingReports = 32;
// Removed targets whose notices are remembered.
constexpr std::size_t kMaxRemembered = 1024;

void LogLeaving(const Target& target, std::string_view from) {
  Log(LogLevel::kInfo, "target_leaving",
      {{"id", target.entry.id},
       {"born", std::to_string(target.entry.born_ms)},
       {"from", std::string(from)}});
}

}  // namespace

void TargetRegistry::OnNotice(Target& target,
                              const ResponseMetadata& response,
                              Instant now) {
  const TargetNotice::Change change = target.notice.OnResponse(response, now);
  if (change.leaves) {
    target.leaving = true;
    LogLeaving(target, "response");
  }
  if (change.rests) {
    Log(LogLevel::kInfo, "target_resting",
        {{"id", target.entry.id},
         {"for_ms", std::to_string((target.notice.rest_until() - now) / 1ms)}});
  }
  if (change.unreadable) {
    Log(LogLevel::kWarn, "target_notice_unreadable",
        {{"id", target.entry.id}, {"status", std::to_string(response.status)}});
  }
}

std::vector<LeavingReport> TargetRegistry::LeavingTargets() const {
  std::vector<const Target*> leaving;
  for (const auto& [id, target] : targets_) {
    if (target->notice.leaving() &&
        target->entry.state == TargetState::kReady) {
      leaving.push_back(target.get());
    }
  }
  std::ranges::sort(leaving, [](const Target* a, const Target* b) {
    return a->notice.leaving_since() > b->notice.leaving_since();
  });
  leaving.resize(std::min(leaving.size(), kMaxLeavingReports));
  std::vector<LeavingReport> reports;
  reports.reserve(leaving.size());
  for (const Target* target : leaving) {
    reports.push_back({TargetDigest(target->entry.id), target->entry.born_ms});
  }
  return reports;
}

void TargetRegistry::AddLeavingTargets(std::span<const LeavingReport> reports,
                                       Instant now) {
  for (const LeavingReport& report : reports) {
    const auto found = by_digest_.find(report.target);
    if (found == by_digest_.end() ||
        found->second->entry.born_ms != report.born_ms) {
      continue;
    }
    Target& target = *found->second;
    if (target.notice.OnLeaving(now)) {
      target.leaving = true;
      LogLeaving(target, "instance");
    }
  }
}

// An entry may go and come back while its target is leaving or rests. Without a
// time of birth an entry does not tell incarnations apart.
void TargetRegistry::RememberNotice(const Target& target) {
  const bool empty =
      !target.notice.leaving() && target.notice.rest_until() == Instant{};
  if (empty || target.entry.born_ms == 0) {
    return;
  }
  if (remembered_notices_.size() >= kMaxRemembered) {
    remembered_notices_.clear();
  }
  remembered_notices_[target.entry.id] = {target.entry.born_ms, target.notice};
}

void TargetRegistry::RestoreNotice(Target& target,
                                   const TargetRegistration& entry) const {
  const auto found = remembered_notices_.find(entry.id);
  if (found != remembered_notices_.end() &&
      found->second.born_ms == entry.born_ms) {
    target.notice = found->second.notice;
  }
}

}  // namespace jackdaw::serving
