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

bool TrustedParts::Contains(std::uint64_t part, Instant now) const {
  for (const Generation* generation : {&recent_, &older_}) {
    const auto found = generation->find(part);
    if (found != generation->end()) {
      return now - found->second.answered_at <= kTrustTime &&
             found->second.crashes < kMaxCrashes;
    }
  }
  return false;
}

}  // namespace jackdaw::serving
