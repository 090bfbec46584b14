#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "fleet/member_silence.h"
#include "fleet/store_clock.h"

namespace jackdaw::serving {

/// The leader's lease, as stored in its row. There is one for the fleet.
struct LeaderLease {
  std::string holder;
  /// Address of the holder for requests of other instances.
  std::string address;
  /// Boot id of the holder. A restarted instance does not own the lease of its
  /// previous run.
  std::string boot_id;
  /// Lease term. Grows with each acquisition and is the fencing token of
  /// orders.
  std::int64_t term = 0;
  /// Renewals within this lease term.
  std::int64_t renewals = 0;
  /// The holder has released the lease.
  bool released = false;
  /// Epoch of the store in which the row was written; see TableVersion. A lease
  /// of an earlier epoch belongs to nobody: the store may have lost later ones.
  std::int64_t store_epoch = 0;
  /// Store's time at which the view in the store certainly held: that of the
  /// last renewal.
  StoreTime renewed_at;
  /// Members of that view that its leader had not heard for a while.
  std::vector<MemberSilence> silent;
  /// Version of the row; the next write of the lease is conditional on it.
  std::int64_t row_version = 0;
};

/// When a leader's view certainly held, by the store's clock, and which of its
/// members had been silent for a while then.
struct ViewConfirmation {
  StoreTime held_at;
  std::vector<MemberSilence> silent;
};

/// The next action of an instance on the lease.
enum class LeaseStep : std::uint8_t { kNone, kAcquire, kRenew };

/// Returns the time for which an instance leaves a free lease to instances with
/// larger links; at most 450 ms. The leader relays rows to the whole fleet.
/// @param link_mbps the instance's link; if it is unknown, there is no wait
/// @param unit random number from 0 to 1
Micros LeaseWait(std::optional<double> link_mbps, double unit);

/// State machine of the leader's lease in one instance. The holder sends orders
/// only in the first half of the lease after each renewal, so that they arrive
/// before the lease can expire. After a change of holder the new leader waits
/// until no order of the previous one can be in flight. All times come from a
/// clock that keeps counting while the machine is suspended, so that a
/// suspended leader notices that its lease has expired.
class Leadership {
 public:
  /// @param lease_time time without a renewal after which another instance may
  /// acquire the lease
  /// @param free_wait time for which the lease must have been free before this
  /// instance acquires it; see LeaseWait
  Leadership(std::string self,
             std::string address,
             std::string boot_id,
             Micros lease_time,
             Micros free_wait = Micros(0));

  /// Applies the lease row that was read.
  /// @param lease null if there is no row
  /// @param store_epoch epoch of the store that was read
  /// @returns whether the row shows that an own acquisition was applied whose
  /// write was not answered; the instance holds the lease from now on
  bool OnLeaseRow(const LeaderLease* lease,
                  Instant now,
                  std::int64_t store_epoch = 0);
  /// Returns whether to acquire or to renew the lease now. It is kNone until
  /// the row has been read for the first time.
  LeaseStep NextStep(Instant now) const;
  /// Returns the time from which on this instance may acquire the lease, if the
  /// lease is free now and the instance still waits.
  std::optional<Instant> WaitsUntil(Instant now) const;
  /// Returns the row to be written for a step other than kNone.
  /// @param view confirmation of the view that is in the store once the row is.
  /// An acquisition carries no view, so its row keeps what the last holder
  /// confirmed of its own.
  LeaderLease Proposal(LeaseStep step, ViewConfirmation view = {}) const;
  /// A proposal is about to be written. Unless it is answered, it may be
  /// applied at any later time. After a release is sent, no orders are.
  void OnSent(const LeaderLease& lease, Instant sent_at);
  /// The store has applied the proposal.
  /// @param sent_at time at which the write was sent; the lease counts from it
  void OnApplied(const LeaderLease& lease, Instant sent_at);

  /// Whether the instance holds the lease according to the last row that it
  /// has read or written.
  bool HoldsLease() const;
  /// Whether a release was sent of the lease that the instance holds. Another
  /// instance may hold it by now.
  bool IsReleasing() const { return HoldsLease() && releasing_; }
  /// Whether orders to targets may be sent now.
  bool MaySendOrders(Instant now) const;
  std::int64_t term() const { return lease_.term; }
  const LeaderLease& lease() const { return lease_; }

 private:
  bool IsOwn(const LeaderLease& lease) const;
  bool IsUnnoticedAcquisition(const LeaderLease& lease) const;
  bool MayHaveLastOrdersOfOther() const;
  std::optional<Instant> FreeSince(Instant now) const;

  std::string self_;
  std::string address_;
  std::string boot_id_;
  Micros lease_time_;
  Micros free_wait_;
  bool lease_known_ = false;
  LeaderLease lease_;
  std::int64_t store_epoch_ = 0;
  /// The store came back from an older copy since the last own acquisition.
  bool store_restored_ = false;
  /// Start of the lease as this instance measures it: the time at which a new
  /// version of the row was read, or was sent by this instance.
  Instant seen_at_{};
  /// Time at which this instance first read that the lease has no holder.
  std::optional<Instant> vacant_since_;
  /// Sending time of the last own write of the lease.
  Instant renewed_at_{};
  /// Term of the last acquisition that was sent, and when its first write was.
  std::int64_t sent_term_ = 0;
  Instant term_sent_at_{};
  /// A release of the lease was sent.
  bool releasing_ = false;
  /// Interval in which orders may be sent.
  Instant orders_from_{};
  Instant orders_until_{};
};

}  // namespace jackdaw::serving
