#include "gateway/missing_model_tracker.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Time until the leader has heard of the need and made room, and until all
// instances know of the load.
constexpr Micros kLoadOrderDelay = 1200ms;
// Shortest time after which a caller is to come back.
constexpr Micros kMinRetryDelay = 700ms;
// TimeWithoutBytes after which a model counts as not asked for.
constexpr Micros kDemandTimeout = 5s;
// Most models that are remembered.
constexpr std::size_t kMaxModels = 1024;

}  // namespace

MissingModelTracker::RetryEstimate MissingModelTracker::OnMissing(
    const std::string& name,
    Micros load_time,
    Instant now) {
  if (requests_.size() >= kMaxModels) {
    RemoveExpired(now);
  }
  const auto [asked, added] =
      requests_.try_emplace(name, RequestTimes{now, now});
  RetryEstimate estimate;
  estimate.is_new = added || now - asked->second.last > kDemandTimeout;
  if (estimate.is_new) {
    asked->second.first = now;
  }
  asked->second.last = now;
  // A load that is late was held up behind others, by about as much again.
  const Instant expected = asked->second.first + kLoadOrderDelay + load_time;
  const Instant overdue = now + std::max(kMinRetryDelay, load_time / 2);
  estimate.retry_at =
      expected > now ? std::max(expected, now + kMinRetryDelay) : overdue;
  return estimate;
}

void MissingModelTracker::RemoveExpired(Instant now) {
  std::erase_if(requests_, [&](const auto& entry) {
    return now - entry.second.last > kDemandTimeout;
  });
}

}  // namespace jackdaw::serving
