#include "fleet/leadership.h"

#include <algorithm>

#include "fleet/table_version.h"

namespace jackdaw::serving {
namespace {

// Least time between two renewals; they are sent with the leader's heartbeats.
constexpr Micros kRenewInterval = 600ms;
// Allowance for the time from sending a write of the lease until other
// instances can read it.
constexpr Micros kWriteDelayMargin = 300ms;

// An instance waits one step if its link is below the ample one, and two if it
// is below the small one, so that a leader with a large link is more likely.
// The jitter separates the writes of instances with equal links.
constexpr double kAmpleLinkMbps = 100;
constexpr double kSmallLinkMbps = 30;
constexpr Micros kLeaseWaitStep = 150ms;

}  // namespace

Micros LeaseWait(std::optional<double> link_mbps, double unit) {
  const double link = link_mbps.value_or(kAmpleLinkMbps);
  if (link >= kAmpleLinkMbps) {
    return Micros(0);
  }
  const double steps = (link < kSmallLinkMbps ? 2 : 1) + unit;
  return Micros(static_cast<std::int64_t>(
      steps * static_cast<double>(kLeaseWaitStep.count())));
}

Leadership::Leadership(std::string self,
                       std::string address,
                       std::string boot_id,
                       Micros lease_time,
                       Micros free_wait)
    : self_(std::move(self)),
      address_(std::move(address)),
      boot_id_(std::move(boot_id)),
      lease_time_(lease_time),
      free_wait_(free_wait) {}

bool Leadership::IsOwn(const LeaderLease& lease) const {
  return lease.holder == self_ && lease.boot_id == boot_id_ &&
         !lease.released && lease.store_epoch == store_epoch_;
}

// Returns whether a row that was read is an own lease that this instance does
// not know to hold: the write was applied, but its answer was lost.
bool Leadership::IsUnnoticedAcquisition(const LeaderLease& lease) const {
  return IsOwn(lease) && lease.term == sent_term_ && lease.term != lease_.term;
}

bool Leadership::OnLeaseRow(const LeaderLease* lease,
                            Instant now,
                            std::int64_t store_epoch) {
  if (store_epoch < store_epoch_) {
    return false;
  }
  const bool restored = store_epoch > store_epoch_;
  store_restored_ = store_restored_ || (restored && lease_known_);
  store_epoch_ = store_epoch;
  if (lease == nullptr) {
    lease_known_ = true;
    lease_ = {};
    seen_at_ = now;
    vacant_since_ = vacant_since_.value_or(now);
    return false;
  }
  if (lease_known_ && !restored && lease->row_version <= lease_.row_version) {
    return false;
  }
  if (IsUnnoticedAcquisition(*lease)) {
    OnApplied(*lease, term_sent_at_);
    return true;
  }
  lease_known_ = true;
  lease_ = *lease;
  seen_at_ = now;
  if (!lease_.holder.empty() && !lease_.released) {
    vacant_since_.reset();
  } else {
    vacant_since_ = vacant_since_.value_or(now);
  }
  return false;
}

// Returns since when another instance than the holder may acquire the lease, or
// nothing if it may not yet.
std::optional<Instant> Leadership::FreeSince(Instant now) const {
  if (lease_.holder.empty() || lease_.released) {
    return vacant_since_.value_or(seen_at_);
  }
  const Instant end = seen_at_ + lease_time_ + kWriteDelayMargin;
  return now > end ? std::optional(end) : std::nullopt;
}

std::optional<Instant> Leadership::WaitsUntil(Instant now) const {
  if (!lease_known_ || lease_.holder == self_) {
    return std::nullopt;
  }
  const std::optional<Instant> free_since = FreeSince(now);
  const bool waits = free_since && now < *free_since + free_wait_;
  return waits ? std::optional(*free_since + free_wait_) : std::nullopt;
}

LeaseStep Leadership::NextStep(Instant now) const {
  if (!lease_known_) {
    return LeaseStep::kNone;
  }
  if (IsOwn(lease_)) {
    return now - renewed_at_ >= kRenewInterval ? LeaseStep::kRenew
                                               : LeaseStep::kNone;
  }
  // Nobody else can acquire the lease of this instance's previous run earlier,
  // so there is nothing to wait for.
  const bool own = lease_.holder == self_;
  const bool free = FreeSince(now) && !WaitsUntil(now);
  return own || free ? LeaseStep::kAcquire : LeaseStep::kNone;
}

LeaderLease Leadership::Proposal(LeaseStep step, ViewConfirmation view) const {
  LeaderLease next = lease_;
  next.store_epoch = store_epoch_;
  if (step == LeaseStep::kAcquire) {
    next.holder = self_;
    next.address = address_;
    next.boot_id = boot_id_;
    next.term = std::max(lease_.term + 1, FirstNumberOfEpoch(store_epoch_));
    next.renewals = 0;
    next.released = false;
    if (next.renewed_at.epoch != store_epoch_) {
      next.renewed_at = {};
    }
  } else {
    ++next.renewals;
    next.renewed_at = view.held_at;
    next.silent = std::move(view.silent);
  }
  return next;
}

// Returns whether the last orders before an acquisition may be another
// instance's: the holder's, or one's whose lease the store has lost.
bool Leadership::MayHaveLastOrdersOfOther() const {
  const bool outdated =
      !lease_.holder.empty() && lease_.store_epoch < store_epoch_;
  return store_restored_ || outdated ||
         (!lease_.holder.empty() && lease_.holder != self_);
}

void Leadership::OnSent(const LeaderLease& lease, Instant sent_at) {
  if (lease.term != lease_.term && lease.term != sent_term_) {
    sent_term_ = lease.term;
    term_sent_at_ = sent_at;
  }
  if (lease.released) {
    releasing_ = true;
    orders_until_ = std::min(orders_until_, sent_at);
  }
}

void Leadership::OnApplied(const LeaderLease& lease, Instant sent_at) {
  const bool acquired = lease.term != lease_.term;
  const bool from_other = acquired && MayHaveLastOrdersOfOther();
  if (acquired) {
    // The previous holder may have sent orders until half a lease time after
    // its last renewal; if it released the lease, it has sent none since. One
    // more lease time lets orders that are in flight arrive.
    const bool released = lease_.released && !store_restored_;
    const Micros order_period = released ? Micros(0) : lease_time_ / 2;
    orders_from_ =
        from_other ? seen_at_ + order_period + lease_time_ + kWriteDelayMargin
                   : sent_at;
    store_restored_ = false;
    releasing_ = false;
  }
  lease_ = lease;
  vacant_since_.reset();
  if (lease_.released) {
    vacant_since_ = sent_at;
  }
  seen_at_ = sent_at;
  renewed_at_ = sent_at;
  orders_until_ = releasing_ ? sent_at : sent_at + lease_time_ / 2;
}

bool Leadership::HoldsLease() const {
  return lease_known_ && IsOwn(lease_);
}

bool Leadership::MaySendOrders(Instant now) const {
  return HoldsLease() && now >= orders_from_ && now < orders_until_;
}

}  // namespace jackdaw::serving
