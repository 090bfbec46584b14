#include "fleet/dispatch_codec.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Bounds of what a message may say.
constexpr std::int64_t kMaxHeldTokens = 10'000'000;
constexpr std::int64_t kMaxDurationMs = 60'000;
constexpr std::uint32_t kMaxRequests = 1'000'000;
constexpr std::uint32_t kMaxPermille = 100'000;

std::uint32_t Permille(double ratio) {
  return static_cast<std::uint32_t>(std::lround(ratio * 1000));
}

std::uint32_t Bounded(std::int64_t value,
                      std::int64_t least,
                      std::int64_t most) {
  return static_cast<std::uint32_t>(std::clamp(value, least, most));
}

}  // namespace

void EncodeDispatch(const Target& target,
                    const RequestMetadata& call,
                    const SentRequest& sent,
                    dispatch::Dispatch& out) {
  out.set_target(TargetDigest(target.entry.id));
  out.set_tokens(static_cast<std::uint32_t>(sent.uncached_tokens));
  for (const PromptPart& part : call.prompt_parts) {
    out.add_parts(PartDigest(call, part.id));
  }
  if (target.uses_forecast) {
    out.set_held_tokens(Bounded(sent.held_tokens, 0, kMaxHeldTokens));
    out.set_duration_ms(Bounded(sent.duration / 1ms, 1, kMaxDurationMs));
  }
}

void ApplyDispatch(const dispatch::Dispatch& notice,
                   TargetRegistry& registry,
                   Instant now) {
  const std::vector<std::uint64_t> parts(notice.parts().begin(),
                                         notice.parts().end());
  registry.OnPeerDispatch(notice.target(), notice.tokens(), parts, now,
                          Bounded(notice.held_tokens(), 0, kMaxHeldTokens),
                          std::chrono::milliseconds(Bounded(
                              notice.duration_ms(), 0, kMaxDurationMs)));
}

void EncodeLoadReport(const LoadReport& load, dispatch::LoadReport& out) {
  out.set_target(load.target);
  out.set_running(static_cast<std::uint32_t>(load.running));
  out.set_waiting(static_cast<std::uint32_t>(load.waiting));
  out.set_work_permille(Permille(load.work_ratio));
  out.set_speed_permille(Permille(load.speed_sample));
  out.set_age_ms(static_cast<std::uint32_t>(load.age / 1ms));
}

std::vector<LoadReport> DecodeLoadReports(
    const dispatch::PeerDatagram& message) {
  std::vector<LoadReport> reports;
  for (const auto& report : message.load_reports()) {
    if (report.running() > kMaxRequests || report.waiting() > kMaxRequests ||
        report.work_permille() > kMaxPermille ||
        report.speed_permille() > kMaxPermille) {
      continue;
    }
    reports.push_back({report.target(), static_cast<int>(report.running()),
                       static_cast<int>(report.waiting()),
                       report.work_permille() / 1000.0,
                       report.speed_permille() / 1000.0,
                       std::chrono::milliseconds(report.age_ms())});
  }
  return reports;
}

}  // namespace jackdaw::serving
