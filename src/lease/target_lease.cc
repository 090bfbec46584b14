#include "lease/target_lease.h"

#include "core/invariant.h"

namespace jackdaw {
namespace {

// A lease is renewed once its term divided by this has passed.
constexpr int kRenewDivisor = 3;

}  // namespace

// A row that shows the attempted write resolves its unknown outcome. Any other
// row that differs from the known one means that this instance does not hold
// the lease.
void TargetLease::OnRow(Instant now,
                        std::uint64_t version,
                        const LeaseRow& row) {
  const bool write_in_progress = attempted_ && unknown_sent_at_ == Instant{};
  if (write_in_progress || version < version_) {
    return;
  }
  if (row_known_ && version == version_) {
    if (unknown_sent_at_ != Instant{}) {
      attempted_.reset();
      unknown_sent_at_ = Instant{};
    }
    return;
  }
  CheckInvariant(row.fence >= row_.fence, "fencing numbers never decrease");
  if (attempted_ && unknown_sent_at_ != Instant{} && row.holder == self_ &&
      row.write_number == attempted_->write_number &&
      row.fence == attempted_->fence) {
    ApplyAttempt(unknown_sent_at_, version);
    return;
  }
  row_known_ = true;
  version_ = version;
  row_ = row;
  unchanged_since_ = now;
  attempted_.reset();
  unknown_sent_at_ = Instant{};
  deadline_ = Instant{};
}

std::optional<Transaction> TargetLease::NextTransaction(
    Instant now,
    bool wanted,
    const std::vector<Order>& pending,
    bool must_write) {
  if (!row_known_ || attempted_) {
    return std::nullopt;
  }
  LeaseRow next = row_;
  if (HeldAt(now)) {
    const bool due = deadline_ - now < term_ - term_ / kRenewDivisor;
    if (wanted && !due && !must_write) {
      return std::nullopt;
    }
    next.pending = pending;
    if (!wanted) {
      // The lease ends before the write, as a release whose response is lost
      // may still take effect.
      next.holder.clear();
      deadline_ = Instant{};
    }
  } else {
    const bool expired = row_.holder.empty() || now - unchanged_since_ >= term_;
    if (!wanted || !expired) {
      return std::nullopt;
    }
    next.holder = self_;
    ++next.fence;
  }
  ++next.write_number;
  Transaction transaction;
  transaction.checks.push_back({key_, version_});
  transaction.writes.push_back({key_, EncodeLease(next)});
  attempted_ = std::move(next);
  return transaction;
}

void TargetLease::ApplyAttempt(Instant sent_at, std::uint64_t version) {
  CheckInvariant(attempted_.has_value(), "only an attempted write commits");
  row_ = std::move(*attempted_);
  attempted_.reset();
  unknown_sent_at_ = Instant{};
  version_ = version;
  unchanged_since_ = sent_at;
  deadline_ = row_.holder == self_ ? sent_at + term_ : Instant{};
  held_fence_ = row_.fence;
}

void TargetLease::OnCommitted(Instant sent_at, std::uint64_t version) {
  ApplyAttempt(sent_at, version);
}

void TargetLease::OnConflict() {
  attempted_.reset();
  deadline_ = Instant{};
  row_known_ = false;
}

}  // namespace jackdaw
