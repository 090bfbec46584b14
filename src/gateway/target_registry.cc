#include "gateway/target_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Prompt tokens that an engine processes per millisecond.
constexpr double kPrefillTokensPerMs = 25.0;
// Weight of a new result in the share of failed requests.
constexpr double kFailureWeight = 0.2;
// Weight of a new result in the run time, and its bounds in seconds.
constexpr double kRunWeight = 0.05;
constexpr double kMinRun = 0.02;
constexpr double kMaxRun = 6;
// Shorter prefills are too noisy to update the slowdown.
constexpr Micros kMinPrefillSample = 25ms;
// Part of the time to the first byte that is not prefill.
constexpr Micros kNonPrefillTime = 15ms;
// First and longest back-off; doubles with each broken or failed connection.
constexpr Micros kFirstBackoff = 150ms;
constexpr Micros kMaxBackoff = 1500ms;
// Time for which a part counts as cached, and count above which all are
// dropped.
constexpr Micros kMaxPartAge = 20s;
constexpr std::size_t kMaxParts = 4096;

Micros TimeOfPrefill(const Target& target, std::int64_t tokens, Instant now) {
  const double ms = static_cast<double>(tokens) * target.speed.Ratio(now) /
                    kPrefillTokensPerMs;
  return Micros(static_cast<std::int64_t>(ms * 1000));
}

// Returns the prompt tokens that are probably not in the target's prefix cache.
std::int64_t UncachedTokens(const Target& target,
                            const RequestMetadata& call,
                            Instant now) {
  std::int64_t cached = 0;
  for (const PromptPart& part : call.prompt_parts) {
    const auto seen = target.prompt_parts.find(PartDigest(call, part.id));
    if (seen == target.prompt_parts.end() || now - seen->second > kMaxPartAge) {
      break;
    }
    cached += part.tokens;
  }
  return std::max<std::int64_t>(0, call.prompt_tokens - cached);
}

}  // namespace

std::uint64_t TargetDigest(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

std::uint64_t PartDigest(const RequestMetadata& call, std::uint64_t part) {
  const std::uint64_t model =
      XXH3_64bits_withSeed(call.model.data(), call.model.size(), part);
  return XXH3_64bits_withSeed(call.adapter.data(), call.adapter.size(), model);
}

TargetRegistry::TargetRegistry(std::string failure_domain,
                               RegionMap regions,
                               const DomainPreferenceSettings& preference,
                               bool forecast_load)
    : failure_domain_(std::move(failure_domain)),
      forecast_load_(forecast_load),
      domain_preference_(preference),
      regions_(std::move(regions)) {}

void TargetRegistry::Enqueue(Target& target, std::int64_t tokens, Instant now) {
  target.prefill_until =
      std::max(now, target.prefill_until) + TimeOfPrefill(target, tokens, now);
  if (target.prompt_parts.size() > kMaxParts) {
    target.prompt_parts.clear();
  }
}

SentRequest TargetRegistry::OnSent(Target& target,
                                   const RequestMetadata& call,
                                   Instant now) {
  SentRequest sent;
  sent.uncached_tokens = UncachedTokens(target, call, now);
  sent.held_tokens = call.Tokens();
  sent.output_tokens = call.model.empty() ? 0 : call.ExpectedOutput();
  sent.slot_wait = target.forecast.WaitForSlot(target.Slots(), now);
  sent.momentary = target.speed.Momentary(now);
  ++target.in_flight;
  target.AddLoad(now);
  if (target.awaiting_first_byte++ == 0) {
    target.awaiting_since = now;
  }
  Enqueue(target, sent.uncached_tokens, now);
  for (const PromptPart& part : call.prompt_parts) {
    target.prompt_parts[PartDigest(call, part.id)] = now;
  }
  sent.duration = ExpectedDuration(target, sent, now);
  sent.forecast_id =
      target.forecast.AddOwn(now, now + sent.duration, sent.held_tokens);
  return sent;
}

void TargetRegistry::OnPeerDispatch(std::uint64_t target_digest,
                                    std::int64_t tokens,
                                    std::span<const std::uint64_t> parts,
                                    Instant now,
                                    std::int64_t held_tokens,
                                    Micros duration) {
  const auto found = by_digest_.find(target_digest);
  if (found == by_digest_.end()) {
    return;
  }
  Target& target = *found->second;
  target.AddLoad(now);
  Enqueue(target, tokens, now);
  if (target.uses_forecast) {
    const Micros expected =
        duration > 0us
            ? duration
            : Micros(static_cast<std::int64_t>(target.run_seconds * 1e6));
    target.forecast.AddOther(now, now + expected,
                             std::max(held_tokens, tokens));
  }
  for (const std::uint64_t part : parts) {
    target.prompt_parts[part] = now;
  }
}

Micros TargetRegistry::PrefillTime(const Target& target,
                                   const RequestMetadata& call,
                                   Instant now) {
  return TimeOfPrefill(target, UncachedTokens(target, call, now), now);
}

void TargetRegistry::OnFirstByte(Target& target,
                                 const ResponseMetadata& response,
                                 Micros expected_prefill,
                                 Instant sent_at,
                                 Instant now,
                                 SentRequest* sent) {
  --target.awaiting_first_byte;
  target.last_received_at = now;
  OnRateLimit(target, response, now);
  OnNotice(target, response, now);
  if (response.has_load) {
    OnLoad(target, response, now);
  }
  if (sent != nullptr && !response.not_executed) {
    sent->first_byte_at = now;
    if (sent->output_tokens > 0) {
      target.forecast.SetEnd(
          sent->forecast_id,
          now + OutputTime(target, sent->output_tokens, now));
    }
  }
  // The time that a request waits for a slot says nothing about the speed.
  const bool waited =
      target.uses_forecast &&
      (response.waiting > 0 || sent == nullptr || sent->slot_wait > 0us);
  if (expected_prefill > kMinPrefillSample && !response.not_executed &&
      !waited) {
    const double ratio = Milliseconds(now - sent_at - kNonPrefillTime) /
                         Milliseconds(expected_prefill);
    const double momentary =
        sent == nullptr ? target.speed.Momentary(now) : sent->momentary;
    target.unsent_speed_sample = target.speed.OnMeasured(ratio, momentary, now);
  }
}

void TargetRegistry::OnEnded(Target& target,
                             TargetOutcome outcome,
                             bool had_first_byte,
                             Instant sent_at,
                             Instant now,
                             const SentRequest* sent) {
  --target.in_flight;
  if (sent != nullptr) {
    target.forecast.RemoveOwn(sent->forecast_id);
  }
  target.awaiting_first_byte -= had_first_byte ? 0 : 1;
  if (outcome == TargetOutcome::kAnswered) {
    const double ran = std::chrono::duration<double>(now - sent_at).count();
    target.run_seconds +=
        kRunWeight * (std::clamp(ran, kMinRun, kMaxRun) - target.run_seconds);
    if (sent != nullptr) {
      LearnWork(target, *sent, sent_at, now);
    }
  }
  if (outcome == TargetOutcome::kAbandoned) {
    return;
  }
  const bool failed = outcome == TargetOutcome::kFailed ||
                      outcome == TargetOutcome::kBroken ||
                      outcome == TargetOutcome::kUnreachable;
  const double result = failed ? 1.0 : 0.0;
  const double share = target.FailureShare(now);
  target.failure_share = share + kFailureWeight * (result - share);
  target.failure_share_updated_at = now;
  if (outcome == TargetOutcome::kUnreachable ||
      outcome == TargetOutcome::kBroken) {
    const int doublings = std::min(target.consecutive_failures, 4);
    target.backoff_until =
        now + std::min(kMaxBackoff, kFirstBackoff * (1 << doublings));
    ++target.consecutive_failures;
  } else {
    target.consecutive_failures = 0;
  }
}

void TargetRegistry::SetAdapter(Target& target,
                                std::string_view adapter,
                                bool held) {
  if (held) {
    target.adapters.emplace(adapter);
  } else if (const auto found = target.adapters.find(adapter);
             found != target.adapters.end()) {
    target.adapters.erase(found);
  }
}

}  // namespace jackdaw::serving
