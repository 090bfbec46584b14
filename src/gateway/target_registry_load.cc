// Load and speed of targets: reports, and the expected time of requests.
#include <algorithm>

#include "core/log.h"
#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

// Expected time of a plain request before one was measured.
constexpr double kPlainRequestMs = 25;
// Longest expected time of a request.
constexpr Micros kMaxDuration = 60s;
// Weight of a new sample of the time of an output token or of a plain request.
constexpr double kTokenWeight = 0.05;
constexpr double kPlainWeight = 0.1;
// Bounds of the time of an output token. A response that is not streamed comes
// at once and says nothing about it.
constexpr double kMinTokenMs = 1;
constexpr double kMaxTokenMs = 200;
// Outputs below this number of tokens are too short to measure their time.
constexpr std::int64_t kMinOutputSample = 16;
// Reports that are told to other instances at a time, the newest ones first, so
// that a datagram stays small; and the age from which on they are useless.
constexpr std::size_t kMaxLoadReports = 16;
constexpr Micros kMaxReportAge = 1s;

Micros FromMs(double ms) {
  return Micros(static_cast<std::int64_t>(ms * 1000));
}

}  // namespace

void TargetRegistry::UseForecast(const std::string& service) {
  ServiceWork& work = work_[service];
  if (work.reports_speed) {
    return;
  }
  work.reports_speed = true;
  Log(LogLevel::kInfo, "service_reports_speed", {{"service", service}});
  for (const auto& [id, target] : targets_) {
    target->uses_forecast |= target->entry.service == service;
  }
}

void TargetRegistry::OnLoad(Target& target,
                            const ResponseMetadata& response,
                            Instant now) {
  target.has_load = true;
  target.reported_running = response.running;
  target.reported_waiting = response.waiting;
  target.reported_slots = response.slots;
  target.load_reported_at = now;
  target.load = response.running + response.waiting;
  target.load_updated_at = now;
  if (response.work_ratio) {
    UseForecast(target.entry.service);
    target.speed.OnReport(*response.work_ratio, now);
  }
  if (!target.uses_forecast) {
    return;
  }
  target.forecast.OnReport(response.running + response.waiting, now);
  if (!target.load_unsent) {
    target.load_unsent = true;
    unsent_loads_.push_back(TargetDigest(target.entry.id));
  }
}

std::vector<LoadReport> TargetRegistry::TakeLoadReports(Instant now) {
  std::vector<LoadReport> reports;
  for (const std::uint64_t digest : unsent_loads_) {
    const auto found = by_digest_.find(digest);
    if (found == by_digest_.end() || !found->second->load_unsent) {
      continue;
    }
    Target& target = *found->second;
    target.load_unsent = false;
    const Micros age = now - target.load_reported_at;
    if (age <= kMaxReportAge) {
      reports.push_back({digest, target.reported_running,
                         target.reported_waiting,
                         target.speed.reported() ? target.speed.last() : 0,
                         target.unsent_speed_sample, age});
    }
    target.unsent_speed_sample = 0;
  }
  unsent_loads_.clear();
  std::ranges::sort(reports, {}, &LoadReport::age);
  reports.resize(std::min(reports.size(), kMaxLoadReports));
  return reports;
}

void TargetRegistry::AddLoadReports(std::span<const LoadReport> reports,
                                    Instant now) {
  for (const LoadReport& report : reports) {
    const auto found = by_digest_.find(report.target);
    if (found == by_digest_.end() || report.age > kMaxReportAge) {
      continue;
    }
    Target& target = *found->second;
    const Instant measured_at = now - std::max(Micros(0), report.age);
    if (report.work_ratio > 0) {
      UseForecast(target.entry.service);
      target.speed.OnReport(report.work_ratio, measured_at);
    }
    if (!target.uses_forecast) {
      continue;
    }
    if (report.speed_sample > 0) {
      target.speed.AddSample(report.speed_sample);
    }
    target.forecast.OnReport(report.running + report.waiting, measured_at);
  }
}

double TargetRegistry::MeanWorkRatio(Instant now) const {
  double sum = 0;
  int reporting = 0;
  for (const auto& [id, target] : targets_) {
    if (target->speed.reported() && !target->leaving) {
      sum += target->speed.Ratio(now);
      ++reporting;
    }
  }
  return reporting == 0 ? 0 : sum / reporting;
}

double TargetRegistry::TokenMs(const Target& target) const {
  const auto found = work_.find(target.entry.service);
  return (found == work_.end() ? ServiceWork() : found->second).token_ms;
}

Micros TargetRegistry::OutputTime(const Target& target,
                                  std::int64_t tokens,
                                  Instant now) const {
  const double ms = static_cast<double>(tokens) * TokenMs(target);
  const Micros span = std::min(kMaxDuration, FromMs(ms));
  return std::min(kMaxDuration, FromMs(ms * target.speed.MeanRatio(now, span)));
}

// Returns the expected time of a request whose prompt is already in the queue.
Micros TargetRegistry::ExpectedDuration(const Target& target,
                                        const SentRequest& sent,
                                        Instant now) const {
  if (sent.output_tokens == 0 && sent.uncached_tokens == 0) {
    const double work =
        target.plain_work_ms > 0 ? target.plain_work_ms : kPlainRequestMs;
    return sent.slot_wait + FromMs(work * target.speed.Ratio(now));
  }
  const Micros prefill = std::max(Micros(0), target.prefill_until - now);
  return std::min(
      kMaxDuration,
      sent.slot_wait + prefill + OutputTime(target, sent.output_tokens, now));
}

// Times of output tokens are learned for a service, as an instance sends few
// requests to each of its targets.
void TargetRegistry::LearnWork(Target& target,
                               const SentRequest& sent,
                               Instant sent_at,
                               Instant now) {
  if (sent.output_tokens >= kMinOutputSample &&
      sent.first_byte_at != Instant{}) {
    const double ms = Milliseconds(now - sent.first_byte_at) /
                      static_cast<double>(sent.output_tokens) /
                      target.speed.LongTermRatio();
    if (ms >= kMinTokenMs && ms <= kMaxTokenMs) {
      double& mean = work_[target.entry.service].token_ms;
      mean += kTokenWeight * (ms - mean);
    }
  } else if (sent.output_tokens == 0 && sent.slot_wait == 0us) {
    const double momentary = (sent.momentary + target.speed.Momentary(now)) / 2;
    const double ms = Milliseconds(now - sent_at) / momentary;
    target.plain_work_ms += target.plain_work_ms == 0
                                ? ms
                                : kPlainWeight * (ms - target.plain_work_ms);
  }
}

}  // namespace jackdaw::serving
