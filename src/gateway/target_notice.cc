#include "gateway/target_notice.h"

namespace jackdaw::serving {
namespace {

// Status of a target that has taken over the address of the expected one, and
// speaks for itself only.
constexpr int kOtherTarget = 421;

}  // namespace

TargetNotice::Change TargetNotice::OnResponse(const ResponseMetadata& response,
                                              Instant now) {
  Change change;
  if (response.status == kOtherTarget) {
    return change;
  }
  change.leaves = response.leaving && OnLeaving(now);
  change.unreadable = response.leaving_unreadable && !unreadable_seen_;
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
