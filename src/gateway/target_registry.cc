#include "gateway/target_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Prompt tokens that an engine processes per millisecond.
constexpr double kPrefillTokensPerMs = 25.0;
// Cost of each running request: it slows the steps of the batch.
constexpr double kRunningCostMs = 1.0;
// Cost of each waiting request: load above the slots, or reported as waiting.
constexpr double kWaitingCostMs = 60.0;
// Duration of a plain request; load counts half below full use, double above.
constexpr double kPlainRequestMs = 25.0;
// Cost of another failure domain: longer round trip and price of the traffic.
constexpr double kOtherDomainCostMs = 12.0;
// Share of failed requests: cost of a share of 1, weight of a new result, and
// half-life without new results.
constexpr double kFailureCostMs = 1500.0;
constexpr double kFailureWeight = 0.2;
constexpr double kFailureHalfLifeMs = 1500.0;
// Time without bytes above which a target is penalized, and cost per ms of it.
constexpr Micros kStallThreshold = 350ms;
constexpr double kStallCostPerMs = 3;
// Weight of a new result in the prefill slowdown, and bounds of the result.
constexpr double kSlowdownWeight = 0.1;
constexpr double kMinSlowdown = 0.7;
constexpr double kMaxSlowdown = 6;
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
// Penalty that ranks targets in back-off behind all others.
constexpr double kBackoffCostMs = 1e6;
// Time for which a part counts as cached, and count above which all are
// dropped.
constexpr Micros kMaxPartAge = 20s;
constexpr std::size_t kMaxParts = 4096;
// Age from which on the waiting requests of a load report are ignored.
constexpr Micros kMaxLoadReportAge = 3s;

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

double Milliseconds(Micros span) {
  return static_cast<double>(span.count()) / 1000;
}

// Returns a share of failed requests after its decay since the last result.
double Decayed(double value, Instant since, Instant now) {
  const double age_ms = static_cast<double>((now - since) / 1ms);
  return value * std::exp2(-age_ms / kFailureHalfLifeMs);
}

double FailureShare(const Target& target, Instant now) {
  return Decayed(target.failure_share, target.failure_share_updated_at, now);
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

TargetRegistry::TargetRegistry(std::string failure_domain)
    : failure_domain_(std::move(failure_domain)) {}

double TargetRegistry::Cost(const Target& target,
                            const TargetQuery& query,
                            Instant now) const {
  double cost = 0;
  const Micros stall = target.TimeWithoutBytes(now);
  if (stall > kStallThreshold) {
    cost += kStallCostPerMs * Milliseconds(stall);
  }
  const int load = target.EstimatedLoad(now);
  const bool has_recent_report =
      target.has_load && now - target.load_reported_at < kMaxLoadReportAge;
  if (query.engine != nullptr) {
    const int beyond = std::max(0, load - query.engine->slots);
    const int waiting = has_recent_report ? target.reported_waiting : 0;
    cost += std::max(0.0, Milliseconds(target.prefill_until - now));
    cost += Milliseconds(PrefillTime(target, *query.call, now));
    cost += kRunningCostMs * load + kWaitingCostMs * std::max(beyond, waiting);
  } else {
    const int slots = std::max(1, target.entry.slots);
    const double used_share = static_cast<double>(load) / slots;
    cost += used_share < 1 ? kPlainRequestMs * used_share / 2
                           : kPlainRequestMs * used_share * 2;
  }
  cost += kFailureCostMs * FailureShare(target, now);
  if (target.entry.failure_domain != failure_domain_) {
    cost += kOtherDomainCostMs;
  }
  if (now < target.backoff_until) {
    cost += kBackoffCostMs;
  }
  return cost;
}

TargetPick TargetRegistry::Pick(const TargetQuery& query, Instant now) const {
  TargetPick pick;
  TargetPtr limited;
  const std::string adapter =
      query.call->adapter.empty() ? std::string() : query.call->ModelName();
  bool any = false;
  bool model_held = false;
  bool awake = false;
  Instant rest_until = Instant::max();
  for (const auto& [id, target] : targets_) {
    if (target->leaving || target->entry.service != query.service) {
      continue;
    }
    const bool excluded =
        std::find(query.excluded.begin(), query.excluded.end(), target) !=
        query.excluded.end();
    any = true;
    if (query.engine != nullptr && !query.call->model.empty() &&
        !target->HoldsModel(query.call->model)) {
      continue;
    }
    model_held = true;
    if (target->notice.Rests(now)) {
      rest_until = std::min(rest_until, target->notice.rest_until());
      continue;
    }
    awake = true;
    if (excluded || (!adapter.empty() && !target->adapters.contains(adapter))) {
      continue;
    }
    if (!MaySend(*target, now)) {
      limited = target;
      continue;
    }
    ++pick.candidates;
    const double cost = Cost(*target, query, now);
    if (pick.target == nullptr || cost < pick.cost_ms ||
        (cost == pick.cost_ms && id < pick.target->entry.id)) {
      pick.target = target;
      pick.cost_ms = cost;
    }
  }
  if (pick.target != nullptr) {
    pick.outcome = PickOutcome::kChosen;
  } else if (!any) {
    pick.outcome = PickOutcome::kNoTarget;
  } else if (!model_held) {
    pick.outcome = PickOutcome::kNoModel;
  } else if (!awake) {
    pick.outcome = PickOutcome::kResting;
    pick.retry_at = rest_until;
  } else if (limited != nullptr) {
    pick.outcome = PickOutcome::kLimited;
    pick.target = limited;
  } else {
    pick.outcome =
        adapter.empty() ? PickOutcome::kNoTarget : PickOutcome::kNoAdapter;
  }
  return pick;
}

void TargetRegistry::Enqueue(Target& target, std::int64_t tokens, Instant now) {
  const double ms =
      static_cast<double>(tokens) * target.slowdown / kPrefillTokensPerMs;
  target.prefill_until = std::max(now, target.prefill_until) +
                         Micros(static_cast<std::int64_t>(ms * 1000));
  if (target.prompt_parts.size() > kMaxParts) {
    target.prompt_parts.clear();
  }
}

std::int64_t TargetRegistry::OnSent(Target& target,
                                    const RequestMetadata& call,
                                    Instant now) {
  const std::int64_t tokens = UncachedTokens(target, call, now);
  ++target.in_flight;
  target.AddLoad(now);
  target.rate_limit.OnSent(now);
  if (target.awaiting_first_byte++ == 0) {
    target.awaiting_since = now;
  }
  Enqueue(target, tokens, now);
  for (const PromptPart& part : call.prompt_parts) {
    target.prompt_parts[PartDigest(call, part.id)] = now;
  }
  return tokens;
}

void TargetRegistry::OnPeerDispatch(std::uint64_t target_digest,
                                    std::int64_t tokens,
                                    std::span<const std::uint64_t> parts,
                                    Instant now) {
  const auto found = by_digest_.find(target_digest);
  if (found == by_digest_.end()) {
    return;
  }
  Target& target = *found->second;
  target.AddLoad(now);
  Enqueue(target, tokens, now);
  for (const std::uint64_t part : parts) {
    target.prompt_parts[part] = now;
  }
}

Micros TargetRegistry::PrefillTime(const Target& target,
                                   const RequestMetadata& call,
                                   Instant now) {
  const auto tokens = static_cast<double>(UncachedTokens(target, call, now));
  return Micros(static_cast<std::int64_t>(tokens * target.slowdown /
                                          kPrefillTokensPerMs * 1000));
}

void TargetRegistry::OnFirstByte(Target& target,
                                 const ResponseMetadata& response,
                                 Micros expected_prefill,
                                 Instant sent_at,
                                 Instant now) {
  --target.awaiting_first_byte;
  target.last_received_at = now;
  OnRateLimit(target, response, now);
  OnNotice(target, response, now);
  if (response.has_load) {
    target.has_load = true;
    target.reported_waiting = response.waiting;
    target.load_reported_at = now;
    target.load = response.running + response.waiting;
    target.load_updated_at = now;
  }
  if (expected_prefill > kMinPrefillSample && !response.not_executed) {
    const double ratio = Milliseconds(now - sent_at - kNonPrefillTime) /
                         Milliseconds(expected_prefill);
    const double slowdown =
        std::clamp(ratio * target.slowdown, kMinSlowdown, kMaxSlowdown);
    target.slowdown += kSlowdownWeight * (slowdown - target.slowdown);
  }
}

void TargetRegistry::OnEnded(Target& target,
                             TargetOutcome outcome,
                             bool had_first_byte,
                             Instant sent_at,
                             Instant now) {
  --target.in_flight;
  target.awaiting_first_byte -= had_first_byte ? 0 : 1;
  if (outcome == TargetOutcome::kAnswered) {
    const double ran = std::chrono::duration<double>(now - sent_at).count();
    target.run_seconds +=
        kRunWeight * (std::clamp(ran, kMinRun, kMaxRun) - target.run_seconds);
  }
  if (outcome == TargetOutcome::kAbandoned) {
    return;
  }
  const bool failed = outcome == TargetOutcome::kFailed ||
                      outcome == TargetOutcome::kBroken ||
                      outcome == TargetOutcome::kUnreachable;
  const double result = failed ? 1.0 : 0.0;
  const double share = FailureShare(target, now);
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
