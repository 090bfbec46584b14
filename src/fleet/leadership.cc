#include "fleet/leadership.h"

namespace jackdaw::serving {
namespace {

// Least time between two renewals; they are sent with the leader's heartbeats.
constexpr Micros kRenewInterval = 600ms;
// Allowance for the time from sending a write of the lease until other
// instances can read it.
constexpr Micros kWriteDelayMargin = 300ms;

}  // namespace

Leadership::Leadership(std::string self,
                       std::string address,
                       std::string boot_id,
                       Micros lease_time)
    : self_(std::move(self)),
      address_(std::move(address)),
      boot_id_(std::move(boot_id)),
      lease_time_(lease_time) {}

bool Leadership::IsOwn(const LeaderLease& lease) const {
  return lease.holder == self_ && lease.boot_id == boot_id_ && !lease.released;
}

void Leadership::OnLeaseRow(const LeaderLease* lease, Instant now) {
  if (lease == nullptr) {
    lease_known_ = true;
    lease_ = {};
    seen_at_ = now;
    return;
  }
  if (lease_known_ && lease->row_version <= lease_.row_version) {
    return;
  }
  lease_known_ = true;
  lease_ = *lease;
  seen_at_ = now;
}

LeaseStep Leadership::NextStep(Instant now) const {
  if (!lease_known_) {
    return LeaseStep::kNone;
  }
  if (IsOwn(lease_)) {
    return now - renewed_at_ >= kRenewInterval ? LeaseStep::kRenew
                                               : LeaseStep::kNone;
  }
  const bool vacant =
      lease_.holder.empty() || lease_.released || lease_.holder == self_;
  const bool expired = now - seen_at_ > lease_time_ + kWriteDelayMargin;
  return vacant || expired ? LeaseStep::kAcquire : LeaseStep::kNone;
}

LeaderLease Leadership::Proposal(LeaseStep step) const {
  LeaderLease next = lease_;
  if (step == LeaseStep::kAcquire) {
    next.holder = self_;
    next.address = address_;
    next.boot_id = boot_id_;
    next.term = lease_.term + 1;
    next.renewals = 0;
    next.released = false;
  } else {
    ++next.renewals;
  }
  return next;
}

void Leadership::OnApplied(const LeaderLease& lease, Instant sent_at) {
  const bool acquired = lease.term != lease_.term;
  const bool from_other =
      acquired && !lease_.holder.empty() && lease_.holder != self_;
  if (acquired) {
    // The previous holder may have sent orders until half a lease time after
    // its last renewal; if it released the lease, it has sent none since. One
    // more lease time lets orders that are in flight arrive.
    const Micros order_period = lease_.released ? Micros(0) : lease_time_ / 2;
    orders_from_ =
        from_other ? seen_at_ + order_period + lease_time_ + kWriteDelayMargin
                   : sent_at;
  }
  lease_ = lease;
  seen_at_ = sent_at;
  renewed_at_ = sent_at;
  orders_until_ = sent_at + lease_time_ / 2;
}

bool Leadership::HoldsLease() const {
  return lease_known_ && IsOwn(lease_);
}

bool Leadership::MaySendOrders(Instant now) const {
  return HoldsLease() && now >= orders_from_ && now < orders_until_;
}

}  // namespace jackdaw::serving
