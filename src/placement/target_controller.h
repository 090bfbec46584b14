#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "lease/target_lease.h"
#include "placement/memory_accounting.h"
#include "placement/order_timing.h"

namespace jackdaw {

/// The properties of a target that its controller works with.
struct ControlledTarget {
  std::string name;
  std::int64_t capacity_mb = 0;
  /// Memory kept for the KV cache.
  std::int64_t reserve_mb = 0;
  /// Whether the engine rejects orders with an outdated fencing number.
  bool checks_fence = true;

  bool operator==(const ControlledTarget& other) const = default;
};

/// Result of the call that delivered an order to an engine.
enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kRejected,
  /// There was no response; the engine may have executed the order.
  kUnknown
};

/// Issues load and unload orders for one target while its lease is held. Each
/// order is recorded in the lease row before it is sent, so that the next
/// holder knows every order that may still reach the engine. An order is
/// settled once it can no longer reach the engine. Pure: no I/O, no clock.
class TargetController {
 public:
  TargetController(ControlledTarget target,
                   std::string self,
                   OrderTiming timing);

  /// Updates the state from the lease row that was read.
  /// @param version 0 when there is no row
  void OnRow(Instant now, std::uint64_t version, const LeaseRow& row);
  /// Returns the next write of the lease row, which also records the requested
  /// orders; nothing when no write is due.
  /// @param wanted whether this instance should hold the lease
  std::optional<Transaction> NextWrite(Instant now, bool wanted);
  /// Handles the commit of the write that was sent at `requested_at`.
  /// @param version version of the row; 0 when the commit was detected by
  /// reading the row, in which case `requested_at` is not used
  void OnCommitted(Instant now, Instant requested_at, std::uint64_t version);
  /// Handles a write that failed because the row had changed; the lease is
  /// lost.
  void OnConflict();
  /// Handles a write whose outcome is unknown.
  void OnUnknown(Instant requested_at) { lease_.OnUnknown(requested_at); }

  /// Whether loads and unloads may be requested: the lease is held, orders of
  /// earlier holders are fenced off or can no longer arrive, and the engine's
  /// state has been read since then.
  bool IsReady(Instant now) const;
  /// Requests a load. @returns false when the controller is not ready, the item
  /// does not fit, or the item is present or has an unsettled order
  bool Load(Instant now, const Artifact& item, std::int64_t memory_mb);
  /// Requests an unload. The caller ensures that another copy remains.
  /// @returns false when the controller is not ready or the item not resident
  bool Unload(Instant now, const Artifact& item);

  /// Returns the next order that is recorded and not sent. Must be called
  /// immediately before sending, because it checks the lease.
  std::optional<Order> NextOrder(Instant now);
  /// Handles the end of the call that sent an order.
  /// @param now time at which the call ended; it sends nothing afterwards
  void OnOrderEnded(Instant now, std::string_view id, OrderOutcome outcome);
  /// Updates the state from the engine's report of its items.
  /// @param requested_at when the report was requested
  void OnReport(Instant requested_at, std::span<const EngineArtifact> items);

  const MemoryAccounting& memory() const { return memory_; }
  const TargetLease& lease() const { return lease_; }
  const ControlledTarget& target() const { return target_; }
  std::size_t pending() const { return pending_.size(); }

 private:
  enum class Stage : std::uint8_t { kRequested, kRecorded, kSent, kEnded };
  struct PendingOrder {
    Order order;
    Stage stage = Stage::kRequested;
    // Issued by an earlier holder of the lease; never sent by this one.
    bool inherited = false;
    // Time from which the order can no longer reach the engine.
    Instant settled_at = Instant::max();
  };

  void TakeOver(Instant now);
  void OnLeaseLost();
  void EnqueueOrder(OrderOp op, const Artifact& item, std::int64_t memory_mb);
  void SettleInherited(Instant settled_at);
  std::vector<Order> PendingOrders() const;

  ControlledTarget target_;
  OrderTiming timing_;
  TargetLease lease_;
  MemoryAccounting memory_;
  std::vector<PendingOrder> pending_;
  std::uint64_t order_count_ = 0;
  // Fencing number for which memory_ and pending_ are valid; 0 for none.
  std::uint64_t memory_fence_ = 0;
  // Number of pending orders, from the front, that the write in progress
  // records.
  std::size_t orders_in_write_ = 0;
  // Whether pending_ has changed since it was last recorded.
  bool must_write_ = false;
  // A report requested from this time on shows the effect of every order of
  // earlier holders that the lease row no longer lists. Those that it still
  // lists are inherited and settle one by one.
  Instant reports_complete_from_ = Instant::max();
  // Whether such a report has been received.
  bool state_read_ = false;
};

}  // namespace jackdaw
