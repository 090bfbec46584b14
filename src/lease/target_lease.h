#pragma once

#include <optional>
#include <string>

#include "core/time.h"
#include "lease/lease_row.h"
#include "store/table.h"

namespace jackdaw {

/// The lease of one target as one instance sees it: when to take it over or
/// renew it, and whether it is held at a moment. Pure.
class TargetLease {
 public:
  /// @param self name and incarnation of this instance
  /// @param term time for which one write holds the lease
  TargetLease(std::string key, std::string self, Micros term)
      : key_(std::move(key)), self_(std::move(self)), term_(term) {}

  /// The row as read. @param version 0 when there is none
  void OnRow(Instant now, std::uint64_t version, const LeaseRow& row);

  /// The write that takes over, renews or changes the lease.
  /// @param pending orders to be recorded with it
  /// @param must_write whether `pending` has changed
  /// @returns nothing when there is nothing to write now
  std::optional<Transaction> NextTransaction(Instant now,
                                             bool wanted,
                                             const std::vector<Order>& pending,
                                             bool must_write);

  /// The write asked for at `sent_at` took effect.
  void OnCommitted(Instant sent_at, std::uint64_t version);
  /// The write lost against another one.
  void OnConflict();
  /// The answer was lost; the next row read tells.
  void OnUnknown(Instant sent_at) { unknown_sent_at_ = sent_at; }

  /// Whether the lease is held. To be asked right before each order.
  bool HeldAt(Instant now) const { return now < deadline_; }
  /// Deadline of the lease; the epoch when it is not held.
  Instant deadline() const { return deadline_; }
  std::uint64_t fence() const { return held_fence_; }
  /// Whether a write is out whose fate is unknown.
  bool has_unsettled_write() const { return attempted_.has_value(); }
  const LeaseRow& row() const { return row_; }
  const std::string& key() const { return key_; }
  const std::string& self() const { return self_; }

 private:
  void ApplyAttempt(Instant sent_at, std::uint64_t version);

  std::string key_;
  std::string self_;
  Micros term_;
  bool row_known_ = false;
  std::uint64_t version_ = 0;
  LeaseRow row_;
  // Since when the row has stood at its version, by this clock.
  Instant unchanged_since_{};
  std::optional<LeaseRow> attempted_;
  Instant unknown_sent_at_{};
  Instant deadline_{};
  std::uint64_t held_fence_ = 0;
};

}  // namespace jackdaw
