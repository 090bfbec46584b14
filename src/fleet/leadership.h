#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace jackdaw::serving {

/// The one lease of the fleet, as its row says.
struct LeaderLease {
  std::string holder;
  /// Where other instances ask the holder.
  std::string address;
  std::string boot_id;
  /// Grows with each change of holder; the fencing token of orders.
  std::int64_t term = 0;
  std::int64_t renewals = 0;
  /// The holder has given the lease up.
  bool released = false;
  /// Version of the row, for the condition of the next write.
  std::int64_t row_version = 0;
};

/// What an instance does about the lease next.
enum class LeaseStep : std::uint8_t { kNone, kAcquire, kRenew };

/// Decides who leads: holds the lease, gives orders only well inside it, and
/// after a change of holder waits until no order of the last one is under way.
/// All moments come from a clock that counts time of suspension.
class Leadership {
 public:
  /// @param lease_time time without a renewal after which another may take it
  Leadership(std::string self,
             std::string address,
             std::string boot_id,
             Micros lease_time);

  /// The row was read. @param lease null when there is none
  void OnLeaseRow(const LeaderLease* lease, Instant now);
  LeaseStep NextStep(Instant now) const;
  /// Row to be written for a step that is not kNone.
  LeaderLease Proposal(LeaseStep step) const;
  /// The proposal was applied. @param sent_at moment at which it was sent
  void OnApplied(const LeaderLease& lease, Instant sent_at);

  /// Whether the instance holds the lease, by what it knows.
  bool HoldsLease() const;
  /// Whether an order may be sent now.
  bool MaySendOrders(Instant now) const;
  std::int64_t term() const { return lease_.term; }
  const LeaderLease& lease() const { return lease_; }

 private:
  bool IsOwn(const LeaderLease& lease) const;

  std::string self_;
  std::string address_;
  std::string boot_id_;
  Micros lease_time_;
  bool lease_known_ = false;
  LeaderLease lease_;
  Instant seen_at_{};
  Instant renewed_at_{};
  Instant orders_from_{};
  Instant orders_until_{};
};

}  // namespace jackdaw::serving
