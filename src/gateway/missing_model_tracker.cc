#include "gateway/missing_model_tracker.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Time until the leader has received the demand and freed memory for the model,
// plus the time until all instances know that it is loaded.
constexpr Micros kLoadOrderDelay = 1200ms;
// Shortest time after which a caller should retry.
constexpr Micros kMinRetryDelay = 700ms;
// Time without a request after which a model is no longer in demand.
constexpr Micros kDemandTimeout = 5s;
// Number of tracked models from which on expired ones are removed.
constexpr std::size_t kMaxModels = 1024;

}  // namespace

MissingModelTracker::RetryEstimate MissingModelTracker::OnMissing(
    const std::string& name,
    Micros load_time,
    Instant now) {
  if (requests_.size() >= kMaxModels) {
    RemoveExpired(now);
  }
  const auto [times, added] =
      requests_.try_emplace(name, RequestTimes{now, now});
  RetryEstimate estimate;
  estimate.is_new = added || now - times->second.last > kDemandTimeout;
  if (estimate.is_new) {
    times->second.first = now;
  }
  times->second.last = now;
  // If the expected time has passed, the load was held up by other loads: the
  // caller retries after half a load time.
  const Instant expected = times->second.first + kLoadOrderDelay + load_time;
  const Instant retry_if_overdue =
      now + std::max(kMinRetryDelay, load_time / 2);
  estimate.retry_at = expected > now ? std::max(expected, now + kMinRetryDelay)
                                     : retry_if_overdue;
  return estimate;
}

void MissingModelTracker::RemoveExpired(Instant now) {
  std::erase_if(requests_, [&](const auto& entry) {
    return now - entry.second.last > kDemandTimeout;
  });
}

}  // namespace jackdaw::serving
