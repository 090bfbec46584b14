// Bounds of the requests to cold targets.
#include <algorithm>
#include <cmath>

#include "core/log.h"
#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

// Time without an answer of the leader or of the store after which an instance
// is out of contact; heartbeats are sent each second at the latest.
constexpr Micros kContactTime = 2500ms;
// Time without any event after which the process may have been paused, and time
// that it then takes to read the notices that have arrived meanwhile.
constexpr Micros kPauseTime = 300ms;
constexpr Micros kCatchUpTime = 100ms;
// Bounds above this, in requests a second, are none in practice.
constexpr double kMaxBound = 10'000;

}  // namespace

void TargetRegistry::Observe(Instant now) const {
  if (now - observed_at_ > kPauseTime) {
    caught_up_at_ = now + kCatchUpTime;
  }
  observed_at_ = now;
}

SendKnowledge TargetRegistry::Knowledge(Instant now) const {
  if (now < caught_up_at_ || now - contact_at_ > kContactTime) {
    return SendKnowledge::kUnsure;
  }
  return DecidesLimitedSends(now) ? SendKnowledge::kLeader
                                  : SendKnowledge::kNotices;
}

void TargetRegistry::OnPeerSend(std::uint64_t target_digest,
                                bool granted,
                                Instant now) {
  Observe(now);
  const auto found = by_digest_.find(target_digest);
  // A leader has counted the sends that it granted, but not those that its
  // predecessor granted just before.
  const bool counted = granted && DecidesLimitedSends(now) &&
                       now - deciding_since_ > SendWindow::kSendTime * 2;
  if (found == by_digest_.end() || counted) {
    return;
  }
  found->second->send_window.OnSent(now);
}

// Less than one request in a second is one in a longer time.
void TargetRegistry::SetColdLimits(std::span<const Service> services,
                                   double overshoot,
                                   double slack) {
  cold_limits_.clear();
  for (const Service& service : services) {
    if (service.cold_per_second <= 0) {
      continue;
    }
    const double bound =
        std::min(kMaxBound, service.cold_per_second * overshoot + slack);
    ColdLimits& limits = cold_limits_[service.name];
    limits.time = service.cold_time;
    limits.bound = std::max(1, static_cast<int>(std::floor(bound)));
    const int limit = SendWindow::Limit(limits.bound, SendKnowledge::kLeader);
    limits.interval = SendWindow::kSpan / limit;
    if (bound < 1) {
      constexpr double kMinBound = 0.1;
      limits.interval =
          Micros(static_cast<std::int64_t>(1e6 / std::max(kMinBound, bound)));
    }
  }
  for (const auto& [id, target] : targets_) {
    ApplyColdLimits(*target);
  }
}

void TargetRegistry::ApplyColdLimits(Target& target) const {
  const auto found = cold_limits_.find(target.entry.service);
  const ColdLimits limits =
      found == cold_limits_.end() ? ColdLimits{} : found->second;
  target.rate_limit.SetColdInterval(limits.interval);
  target.send_window.SetBound(limits.bound);
}

// A target that has started again and does not say how long it is cold is taken
// to be so for as long as targets of its service are.
void TargetRegistry::OnColdRow(const TargetRegistration& entry, Instant now) {
  const TargetPtr target = Find(entry.id);
  if (target == nullptr || target->entry.born_ms != entry.born_ms) {
    return;
  }
  const bool first = target->rate_limit.cold_version() == ColdVersion{};
  const Micros assumed =
      first && target->restarted ? ColdTime(entry.service) : Micros(0);
  target->rate_limit.OnCold({entry.row_epoch, entry.row_version},
                            now + entry.cold_remaining.value_or(assumed), now);
}

void TargetRegistry::MarkCold(Target& target, Instant until, Instant now) {
  target.rate_limit.MarkCold(until, now);
}

Micros TargetRegistry::ColdTime(std::string_view service) const {
  const auto found = cold_limits_.find(std::string(service));
  return found == cold_limits_.end() ? Micros(0) : found->second.time;
}

void TargetRegistry::LogCold(Instant now) {
  for (const auto& [id, target] : targets_) {
    const bool cold = target->rate_limit.cold(now);
    if (cold == target->logged_cold) {
      continue;
    }
    target->logged_cold = cold;
    const Micros left = target->rate_limit.cold_until() - now;
    Log(LogLevel::kInfo, cold ? "target_cold" : "target_warm",
        {{"id", id},
         {"service", target->entry.service},
         {"for_ms", std::to_string(cold ? left / 1ms : 0)}});
  }
}

}  // namespace jackdaw::serving
