// Limits that targets name in their responses.
#include <algorithm>

#include "core/log.h"
#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

// Largest age that is told of a limit. That of a target that has never answered
// is not known.
constexpr Micros kMaxReportedAge = std::chrono::hours(1);

void LogLimit(const Target& target, std::string_view from) {
  const std::optional<double> limit = target.rate_limit.per_second();
  Log(LogLevel::kInfo, "target_limit",
      {{"id", target.entry.id},
       {"per_second", limit ? std::to_string(*limit) : "none"},
       {"from", std::string(from)}});
}

}  // namespace

bool TargetRegistry::MaySend(const Target& target, Instant now) const {
  const bool admitted =
      !target.rate_limit.Applies(now) ||
      (DecidesLimitedSends(now) && target.rate_limit.Admits(now));
  return admitted && (!target.send_window.bounded() ||
                      target.send_window.HasRoom(Knowledge(now), now));
}

bool TargetRegistry::TryTakeSend(Target& target, Instant now) {
  return TakeSend(target, false, now);
}

// A request for which the leader was asked was counted there when it answered.
bool TargetRegistry::TakeSend(Target& target, bool granted, Instant now) {
  if (granted && DecidesLimitedSends(now)) {
    return true;
  }
  if (!granted && !MaySend(target, now)) {
    return false;
  }
  target.rate_limit.OnSent(now);
  const bool by_notices = !granted && Knowledge(now) != SendKnowledge::kLeader;
  target.send_window.OnSent(now, by_notices);
  return true;
}

Instant TargetRegistry::NextSend(Target& target, Instant now) const {
  const Instant next = target.rate_limit.NextReturn(now);
  return std::max(next, target.send_window.NextRoom(Knowledge(now), now));
}

void TargetRegistry::RestartRateLimits(Instant now) {
  deciding_since_ = now;
  for (const auto& [id, target] : targets_) {
    target->rate_limit.Restart(now);
  }
}

// A limit that cannot be read says nothing about the former one.
void TargetRegistry::OnRateLimit(Target& target,
                                 const ResponseMetadata& response,
                                 Instant now) {
  if (response.rate_limit_unreadable) {
    Log(LogLevel::kWarn, "target_limit_unreadable", {{"id", target.entry.id}});
    return;
  }
  const std::optional<double> before = target.rate_limit.per_second();
  target.rate_limit.OnResponse(response.rate_limit, now);
  if (target.rate_limit.per_second() != before) {
    LogLimit(target, "response");
  }
}

std::vector<RateLimitReport> TargetRegistry::RateLimits(Instant now) const {
  std::vector<RateLimitReport> reports;
  for (const auto& [id, target] : targets_) {
    if (target->rate_limit.ever_limited()) {
      reports.push_back(RateLimitOf(*target, now));
    }
  }
  return reports;
}

RateLimitReport TargetRegistry::RateLimitOf(const Target& target, Instant now) {
  const RateLimit& limit = target.rate_limit;
  return {TargetDigest(target.entry.id),
          target.entry.born_ms,
          limit.per_second(),
          std::min(kMaxReportedAge, Micros(now - limit.learned_at())),
          limit.cold(now) ? limit.cold_until() - now : Micros(0),
          limit.cold_version()};
}

void TargetRegistry::AddRateLimits(std::span<const RateLimitReport> reports,
                                   Instant now) {
  for (const RateLimitReport& report : reports) {
    const auto found = by_digest_.find(report.target);
    if (found == by_digest_.end() ||
        found->second->entry.born_ms != report.born_ms) {
      continue;
    }
    Target& target = *found->second;
    const std::optional<double> before = target.rate_limit.per_second();
    target.rate_limit.OnReport(report, now);
    if (report.cold_remaining > Micros(0)) {
      target.rate_limit.OnCold(report.cold_version, now + report.cold_remaining,
                               now);
    }
    if (target.rate_limit.per_second() != before) {
      LogLimit(target, "instance");
    }
  }
}

}  // namespace jackdaw::serving
