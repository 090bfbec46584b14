#pragma once

#include <optional>
#include <string>

#include "core/time.h"
#include "lease/lease_row.h"
#include "store/table.h"

namespace jackdaw {

/// Lease of one target from the view of one instance: decides when to take it
/// over or renew it, and whether it is held. Does no I/O and has no clock.
class TargetLease {
 public:
  /// @param self name and incarnation of this instance
  /// @param term lease term: time for which one write holds the lease
  TargetLease(std::string key, std::string self, Micros term)
      : key_(std::move(key)), self_(std::move(self)), term_(term) {}

  /// Applies the row as read. @param version 0 if there is no row
  void OnRow(Instant now, std::uint64_t version, const LeaseRow& row);

  /// Returns the write that takes over, renews, changes or releases the lease;
  /// empty if there is nothing to write now.
  /// @param wanted whether this instance should hold the lease
  /// @param pending orders to be recorded in the row
  /// @param must_write whether `pending` has changed
  std::optional<Transaction> NextTransaction(Instant now,
                                             bool wanted,
                                             const std::vector<Order>& pending,
                                             bool must_write);

  /// Records that the write sent at `sent_at` took effect.
  void OnCommitted(Instant sent_at, std::uint64_t version);
  /// Records that the write failed because another one had changed the row.
  void OnConflict();
  /// Records that the response to the write was lost. The next row that is read
  /// resolves this: a changed row shows whether the write took effect. With an
  /// unchanged row the write is dropped; if it takes effect later all the same,
  /// the lease counts as not held by this instance.
  void OnUnknown(Instant sent_at) { unknown_sent_at_ = sent_at; }

  /// Returns whether the lease is held. Must be checked right before each
  /// order.
  bool HeldAt(Instant now) const { return now < deadline_; }
  /// Returns the deadline of the lease; the epoch if it is not held.
  Instant deadline() const { return deadline_; }
  /// Returns the fencing number under which the lease was last held.
  std::uint64_t fence() const { return held_fence_; }
  /// Returns whether a write is in progress or its response was lost.
  bool has_unsettled_write() const { return attempted_.has_value(); }
  const LeaseRow& row() const { return row_; }
  const std::string& key() const { return key_; }
  const std::string& self() const { return self_; }

 private:
  // Applies the attempted write after its success.
  void ApplyAttempt(Instant sent_at, std::uint64_t version);

  std::string key_;
  std::string self_;
  Micros term_;
  bool row_known_ = false;
  std::uint64_t version_ = 0;
  LeaseRow row_;
  // Time since which the row has been unchanged, by the local clock: the send
  // time of an own write, else the time of the first read.
  Instant unchanged_since_{};
  // Row of the write whose outcome is not known yet.
  std::optional<LeaseRow> attempted_;
  // Send time of that write if its response was lost; else the epoch.
  Instant unknown_sent_at_{};
  Instant deadline_{};
  std::uint64_t held_fence_ = 0;
};

}  // namespace jackdaw
