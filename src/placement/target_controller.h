#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "lease/target_lease.h"
#include "placement/memory_ledger.h"
#include "placement/order_timing.h"

namespace jackdaw {

/// What a controller is told of its target.
struct ControlledTarget {
  std::string name;
  std::int64_t capacity_mb = 0;
  std::int64_t reserve_mb = 0;
  bool checks_fence = true;

  bool operator==(const ControlledTarget& other) const = default;
};

/// How a call that carried an order ended.
enum class OrderOutcome : std::uint8_t { kAccepted, kRefused, kUnknown };

/// Gives the orders for one target under its lease. Each order is recorded in
/// the lease's row before it is sent, so that the next holder knows of every
/// order that may still arrive. Pure.
class TargetController {
 public:
  TargetController(ControlledTarget target,
                   std::string self,
                   OrderTiming timing);

  void OnRow(Instant now, std::uint64_t version, const LeaseRow& row);
  /// The next write of the lease's row; orders asked for go with it.
  std::optional<Transaction> NextWrite(Instant now, bool wanted);
  void OnCommitted(Instant now, Instant asked_at, std::uint64_t version);
  void OnConflict();
  void OnUnknown(Instant asked_at) { lease_.OnUnknown(asked_at); }

  /// Whether orders may be asked for: the lease is held, earlier holders are
  /// fenced off or waited out, and the engine's state has been read since.
  bool IsReady(Instant now) const;
  /// Asks for a load. @returns false when it does not fit or is not settled
  bool Load(Instant now, const Artifact& item, std::int64_t memory_mb);
  /// Asks for an unload. @returns false when the item is not ready. The caller
  /// makes sure that another copy stays.
  bool Unload(Instant now, const Artifact& item);

  /// The next order to send, whose record is stored. To be called right
  /// before sending; the lease is checked here.
  std::optional<Order> NextOrder(Instant now);
  /// The call ended. @param now when nothing of it can leave any more
  void OnOrderEnded(Instant now, std::string_view id, OrderOutcome outcome);
  /// The engine's state. @param asked_at when it was asked for
  void OnReport(Instant asked_at, std::span<const EngineArtifact> items);

  const MemoryLedger& ledger() const { return ledger_; }
  const TargetLease& lease() const { return lease_; }
  const ControlledTarget& target() const { return target_; }
  std::size_t pending() const { return pending_.size(); }

 private:
  enum class Stage : std::uint8_t { kAsked, kRecorded, kSent, kEnded };
  struct Pending {
    Order order;
    Stage stage = Stage::kAsked;
    // Given by an earlier holder; never sent from here.
    bool adopted = false;
    Instant settled_at = Instant::max();
  };

  void TakeOver(Instant now);
  void DropLease();
  void Ask(OrderOp op, const Artifact& item, std::int64_t memory_mb);
  void SettleAdopted(Instant settled_at);
  std::vector<Order> PendingOrders() const;

  ControlledTarget target_;
  OrderTiming timing_;
  TargetLease lease_;
  MemoryLedger ledger_;
  std::vector<Pending> pending_;
  std::uint64_t order_count_ = 0;
  std::uint64_t ledger_fence_ = 0;
  // Orders asked for that the write under way carries.
  std::size_t writing_ = 0;
  bool must_write_ = false;
  // From then on a report shows all that earlier holders ordered, but for
  // the adopted orders.
  Instant waited_out_at_ = Instant::max();
  bool state_read_ = false;
};

}  // namespace jackdaw
