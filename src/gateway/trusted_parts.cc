#include "gateway/trusted_parts.h"

namespace jackdaw::serving {
namespace {

// Time for which an answer proves a part sound.
constexpr Micros kTrustTime = std::chrono::minutes(5);
// Crashes without an answer that end the trust.
constexpr int kMaxCrashes = 8;
// Parts of one generation.
constexpr std::size_t kMaxParts = 4096;

}  // namespace

void TrustedParts::OnAnswer(std::uint64_t part, Instant now) {
  if (recent_.size() >= kMaxParts && !recent_.contains(part)) {
    older_ = std::move(recent_);
    recent_.clear();
  }
  recent_[part] = {now, 0, 0};
}

void TrustedParts::OnCrash(std::uint64_t part, std::uint64_t target) {
  for (Generation* generation : {&recent_, &older_}) {
    const auto found = generation->find(part);
    if (found != generation->end() && found->second.last_crashed != target) {
      found->second.last_crashed = target;
      ++found->second.crashes;
    }
  }
}

const TrustedParts::Trust* TrustedParts::Find(std::uint64_t part) const {
  for (const Generation* generation : {&recent_, &older_}) {
    const auto found = generation->find(part);
    if (found != generation->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

bool TrustedParts::Contains(std::uint64_t part, Instant now) const {
  const Trust* trust = Find(part);
  return trust != nullptr && now - trust->answered_at <= kTrustTime &&
         trust->crashes < kMaxCrashes;
}

bool TrustedParts::AnsweredSince(std::uint64_t part, Instant since) const {
  const Trust* trust = Find(part);
  return trust != nullptr && trust->answered_at > since;
}

}  // namespace jackdaw::serving
