#include "gateway/target_board.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Prompt tokens that an engine reads in a millisecond.
constexpr double kTokensPerMs = 25.0;
// Weight of one running request: steps of the batch get slower.
constexpr double kRunningMs = 1.0;
// Weight of a request that waits although places are free.
constexpr double kWaitingMs = 60.0;
// Time that a plain request takes, for the queue at a plain target.
constexpr double kPlainWorkMs = 25.0;
// Extra round trip and price of bytes between failure domains.
constexpr double kOtherDomainMs = 12.0;
// Cost of a certain failure; a share of failures costs its part.
constexpr double kFailureMs = 1500.0;
// Weight of a new result in the share of failures.
constexpr double kFailureWeight = 0.2;
// Time in which a judgement that is not renewed halves.
constexpr double kHalfLifeMs = 1500.0;
// Silence after which a target that owes an answer costs more and more.
constexpr Micros kSilence = 350ms;
constexpr double kSilenceWeight = 3;
// Weight of a new result in the slowness, and its bounds.
constexpr double kSlownessWeight = 0.1;
constexpr double kLeastSlowness = 0.7;
constexpr double kMostSlowness = 6;
// Weight of a new result in the time that requests run, and its bounds in
// seconds.
constexpr double kRunWeight = 0.05;
constexpr double kLeastRun = 0.02;
constexpr double kMostRun = 6;
// Reading below this says little about how slow a target is.
constexpr Micros kTellingReading = 25ms;
// Part of the time to the first byte that is not reading.
constexpr Micros kWayTime = 15ms;
// First and longest time without requests after a broken connection.
constexpr Micros kSuspectFirst = 150ms;
constexpr Micros kSuspectMost = 1500ms;
// Cost that puts suspected targets behind all others.
constexpr double kSuspectedMs = 1e6;
// Age at which a prompt part no longer counts as cached.
constexpr Micros kPartAge = 20s;
// Prompt parts remembered for a target.
constexpr std::size_t kMostParts = 4096;
// Age after which a told load is taken as only a hint.
constexpr Micros kLoadAge = 3s;

// Prompt tokens that the target has to read anew.
std::int64_t TokensToRead(const Target& target,
                          const RequestMetadata& call,
                          Instant now) {
  std::int64_t cached = 0;
  for (const PromptPart& part : call.prompt_parts) {
    const auto seen = target.prompt_parts.find(PartDigest(call, part.id));
    if (seen == target.prompt_parts.end() || now - seen->second > kPartAge) {
      break;
    }
    cached += part.tokens;
  }
  return std::max<std::int64_t>(0, call.prompt_tokens - cached);
}

double Milliseconds(Micros span) {
  return static_cast<double>(span.count()) / 1000;
}

// What is left of a judgement that was not renewed since.
double Faded(double value, Instant since, Instant now) {
  const double age_ms = static_cast<double>((now - since) / 1ms);
  return value * std::exp2(-age_ms / kHalfLifeMs);
}

double FailureShare(const Target& target, Instant now) {
  return Faded(target.failure_share, target.judged_at, now);
}

bool SameModels(const TargetRegistration& a, const TargetRegistration& b) {
  return std::equal(a.models.begin(), a.models.end(), b.models.begin(),
                    b.models.end(), [](const HeldModel& x, const HeldModel& y) {
                      return x.name == y.name && x.version == y.version;
                    });
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

TargetBoard::TargetBoard(std::string failure_domain)
    : failure_domain_(std::move(failure_domain)) {}

bool TargetBoard::Update(const TargetRegistration& entry) {
  TargetPtr& target = targets_[entry.id];
  const bool restarted =
      target != nullptr && target->entry.born_ms != entry.born_ms;
  if (restarted && entry.born_ms < target->entry.born_ms) {
    return false;
  }
  if (target == nullptr || restarted ||
      target->entry.address != entry.address) {
    target = std::make_shared<Target>();
    by_digest_[TargetDigest(entry.id)] = target;
  }
  const bool leaving = entry.state == TargetState::kDraining;
  const bool changed = target->entry.id.empty() || target->leaving != leaving ||
                       !SameModels(target->entry, entry);
  target->leaving = leaving;
  target->entry = entry;
  for (const HeldModel& model : entry.models) {
    for (const std::string& adapter : model.adapters) {
      target->adapters.insert(model.name + "/" + adapter);
    }
  }
  std::erase_if(target->adapters, [&](const std::string& name) {
    return !target->HoldsModel(
        std::string_view(name).substr(0, name.find('/')));
  });
  return changed;
}

void TargetBoard::Remove(std::string_view id) {
  const auto found = targets_.find(std::string(id));
  if (found != targets_.end()) {
    found->second->leaving = true;
    by_digest_.erase(TargetDigest(id));
    targets_.erase(found);
  }
}

double TargetBoard::Cost(const Target& target,
                         const TargetNeed& need,
                         Instant now) const {
  double cost = 0;
  const Micros silence = target.Silence(now);
  if (silence > kSilence) {
    cost += kSilenceWeight * Milliseconds(silence);
  }
  const int load = target.LikelyLoad(now);
  const bool told_lately = target.has_load && now - target.told_at < kLoadAge;
  if (need.engine != nullptr) {
    const int beyond = std::max(0, load - need.engine->slots);
    const int waiting = told_lately ? target.told_waiting : 0;
    cost += std::max(0.0, Milliseconds(target.reading_until - now));
    cost += Milliseconds(ReadingTime(target, *need.call, now));
    cost += kRunningMs * load + kWaitingMs * std::max(beyond, waiting);
  } else {
    const int slots = std::max(1, target.entry.slots);
    const double free_share = static_cast<double>(load) / slots;
    cost += free_share < 1 ? kPlainWorkMs * free_share / 2
                           : kPlainWorkMs * free_share * 2;
  }
  cost += kFailureMs * FailureShare(target, now);
  if (target.entry.failure_domain != failure_domain_) {
    cost += kOtherDomainMs;
  }
  if (now < target.suspected_until) {
    cost += kSuspectedMs;
  }
  return cost;
}

TargetPick TargetBoard::Pick(const TargetNeed& need, Instant now) const {
  TargetPick pick;
  const std::string adapter =
      need.call->adapter.empty() ? std::string() : need.call->ModelName();
  bool any = false;
  bool model_held = false;
  for (const auto& [id, target] : targets_) {
    if (target->leaving || target->entry.service != need.service) {
      continue;
    }
    const bool excluded = std::find(need.excluded.begin(), need.excluded.end(),
                                    target) != need.excluded.end();
    any = true;
    if (need.engine != nullptr && !need.call->model.empty() &&
        !target->HoldsModel(need.call->model)) {
      continue;
    }
    model_held = true;
    if (excluded || (!adapter.empty() && !target->adapters.contains(adapter))) {
      continue;
    }
    ++pick.candidates;
    const double cost = Cost(*target, need, now);
    if (pick.target == nullptr || cost < pick.expected_ms ||
        (cost == pick.expected_ms && id < pick.target->entry.id)) {
      pick.target = target;
      pick.expected_ms = cost;
    }
  }
  if (pick.target != nullptr) {
    pick.outcome = PickOutcome::kChosen;
  } else if (!any) {
    pick.outcome = PickOutcome::kNoTarget;
  } else if (!model_held) {
    pick.outcome = PickOutcome::kNoModel;
  } else {
    pick.outcome =
        adapter.empty() ? PickOutcome::kNoTarget : PickOutcome::kNoAdapter;
  }
  return pick;
}

void TargetBoard::AddReading(Target& target, std::int64_t tokens, Instant now) {
  const double ms =
      static_cast<double>(tokens) * target.slowness / kTokensPerMs;
  target.reading_until = std::max(now, target.reading_until) +
                         Micros(static_cast<std::int64_t>(ms * 1000));
  if (target.prompt_parts.size() > kMostParts) {
    target.prompt_parts.clear();
  }
}

std::int64_t TargetBoard::OnSent(Target& target,
                                 const RequestMetadata& call,
                                 Instant now) {
  const std::int64_t tokens = TokensToRead(target, call, now);
  ++target.in_flight;
  target.AddLoad(now);
  if (target.awaiting++ == 0) {
    target.awaiting_since = now;
  }
  AddReading(target, tokens, now);
  for (const PromptPart& part : call.prompt_parts) {
    target.prompt_parts[PartDigest(call, part.id)] = now;
  }
  return tokens;
}

void TargetBoard::OnSentElsewhere(std::uint64_t target_digest,
                                  std::int64_t tokens,
                                  std::span<const std::uint64_t> parts,
                                  Instant now) {
  const auto found = by_digest_.find(target_digest);
  if (found == by_digest_.end()) {
    return;
  }
  Target& target = *found->second;
  target.AddLoad(now);
  AddReading(target, tokens, now);
  for (const std::uint64_t part : parts) {
    target.prompt_parts[part] = now;
  }
}

Micros TargetBoard::ReadingTime(const Target& target,
                                const RequestMetadata& call,
                                Instant now) {
  const auto tokens = static_cast<double>(TokensToRead(target, call, now));
  return Micros(static_cast<std::int64_t>(tokens * target.slowness /
                                          kTokensPerMs * 1000));
}

void TargetBoard::OnFirstByte(Target& target,
                              const ResponseMetadata& answer,
                              Micros reading,
                              Instant sent_at,
                              Instant now) {
  --target.awaiting;
  target.heard_at = now;
  if (answer.has_load) {
    target.has_load = true;
    target.told_waiting = answer.waiting;
    target.told_at = now;
    target.load = answer.running + answer.waiting;
    target.load_at = now;
  }
  if (reading > kTellingReading && !answer.not_executed) {
    const double ratio =
        Milliseconds(now - sent_at - kWayTime) / Milliseconds(reading);
    const double slowness =
        std::clamp(ratio * target.slowness, kLeastSlowness, kMostSlowness);
    target.slowness += kSlownessWeight * (slowness - target.slowness);
  }
}

void TargetBoard::OnEnded(Target& target,
                          TargetOutcome outcome,
                          bool had_first_byte,
                          Instant sent_at,
                          Instant now) {
  --target.in_flight;
  target.awaiting -= had_first_byte ? 0 : 1;
  if (outcome == TargetOutcome::kAnswered) {
    const double ran = std::chrono::duration<double>(now - sent_at).count();
    target.run_seconds += kRunWeight * (std::clamp(ran, kLeastRun, kMostRun) -
                                        target.run_seconds);
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
  target.judged_at = now;
  if (outcome == TargetOutcome::kUnreachable ||
      outcome == TargetOutcome::kBroken) {
    const int doublings = std::min(target.failures_in_row, 4);
    target.suspected_until =
        now + std::min(kSuspectMost, kSuspectFirst * (1 << doublings));
    ++target.failures_in_row;
  } else {
    target.failures_in_row = 0;
  }
}

void TargetBoard::SetAdapter(Target& target,
                             std::string_view adapter,
                             bool held) {
  if (held) {
    target.adapters.emplace(adapter);
  } else if (const auto found = target.adapters.find(adapter);
             found != target.adapters.end()) {
    target.adapters.erase(found);
  }
}

TargetPtr TargetBoard::Find(std::string_view id) const {
  const auto found = targets_.find(std::string(id));
  return found == targets_.end() ? nullptr : found->second;
}

std::vector<TargetPtr> TargetBoard::Usable(std::string_view service) const {
  std::vector<TargetPtr> usable;
  for (const auto& [id, target] : targets_) {
    if (!target->leaving && target->entry.service == service) {
      usable.push_back(target);
    }
  }
  return usable;
}

}  // namespace jackdaw::serving
