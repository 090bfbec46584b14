#include "gateway/target_notice.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Status of a target that has taken over the address of the expected one, and
// speaks for itself only.
constexpr int kOtherTarget = 421;
// Status with which a target may ask for rest.
constexpr int kUnavailable = 503;
// Longest rest that is kept, in seconds: a target that names a longer one is
// asked again.
constexpr double kMaxRestSeconds = 600;

Micros RestOf(double seconds) {
  return Micros(
      static_cast<std::int64_t>(std::min(seconds, kMaxRestSeconds) * 1e6));
}

}  // namespace

TargetNotice::Change TargetNotice::OnResponse(const ResponseMetadata& response,
                                              Instant now) {
  Change change;
  if (response.status == kOtherTarget) {
    return change;
  }
  change.leaves = response.leaving && OnLeaving(now);
  bool unreadable = response.leaving_unreadable;
  if (response.status == kUnavailable) {
    unreadable |= response.retry_after_unreadable;
    const Micros rest = RestOf(response.retry_after_seconds.value_or(0));
    change.rests = rest > 0us && !Rests(now);
    rest_until_ = std::max(rest_until_, now + rest);
  }
  change.unreadable = unreadable && !unreadable_seen_;
  unreadable_seen_ |= change.unreadable;
  return change;
}

bool TargetNotice::OnLeaving(Instant now) {
  if (leaving_) {
    return false;
  }
  leaving_ = true;
  leaving_since_ = now;
  return true;
}

}  // namespace jackdaw::serving
