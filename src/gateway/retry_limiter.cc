#include "gateway/retry_limiter.h"

#include <algorithm>
#include <numeric>

namespace jackdaw::serving {
namespace {

// Share of the budget that is used. The rest is a margin for retries that the
// targets count in another window than the instance.
constexpr double kUsedShare = 0.75;
// Fewer than kSlices, so that the counted slices span more than one window. The
// limit then also holds in windows that begin within a slice.
constexpr std::int64_t kSlicesPerWindow = 20;

}  // namespace

// Returns the counts of a service, with the slices since the last call cleared.
RetryLimiter::ServiceCounts& RetryLimiter::CountsAt(std::string_view service,
                                                    Instant now) {
  ServiceCounts& counts = services_[std::string(service)];
  const Micros length = limits_.window / kSlicesPerWindow;
  const std::int64_t slice = now.time_since_epoch() / length;
  const std::int64_t passed =
      std::clamp<std::int64_t>(slice - counts.slice, 0, kSlices);
  for (std::int64_t i = 1; i <= passed; ++i) {
    const std::size_t at = static_cast<std::size_t>(counts.slice + i) % kSlices;
    counts.requests[at] = 0;
    counts.retries[at] = 0;
  }
  if (passed == static_cast<std::int64_t>(kSlices)) {
    counts.requests.fill(0);
    counts.retries.fill(0);
  }
  counts.slice = std::max(counts.slice, slice);
  return counts;
}

void RetryLimiter::OnRequest(std::string_view service, Instant now) {
  ServiceCounts& counts = CountsAt(service, now);
  ++counts.requests[static_cast<std::size_t>(counts.slice) % kSlices];
}

void RetryLimiter::SetInstances(int instances, Instant now) {
  const int count = std::max(1, instances);
  if (count >= instances_) {
    instances_ = count;
    fewer_instances_ = 0;
    return;
  }
  if (fewer_instances_ == 0) {
    fewer_from_ = now + limits_.window;
  }
  fewer_instances_ = std::max(fewer_instances_, count);
}

// Returns the extra retries per window that this instance may use.
double RetryLimiter::ExtraShare(Instant now) {
  if (now < extra_from_) {
    return 0;
  }
  if (fewer_instances_ > 0 && now >= fewer_from_) {
    instances_ = fewer_instances_;
    fewer_instances_ = 0;
  }
  return limits_.extra / instances_;
}

bool RetryLimiter::TryRetry(std::string_view service, Instant now) {
  ServiceCounts& counts = CountsAt(service, now);
  const int requests =
      std::accumulate(counts.requests.begin(), counts.requests.end(), 0);
  const int retries =
      std::accumulate(counts.retries.begin(), counts.retries.end(), 0);
  const double allowed =
      kUsedShare * (limits_.ratio * requests + ExtraShare(now));
  if (retries + 1 > allowed) {
    ++denied_;
    return false;
  }
  ++counts.retries[static_cast<std::size_t>(counts.slice) % kSlices];
  return true;
}

}  // namespace jackdaw::serving
