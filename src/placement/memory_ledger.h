#pragma once

#include <map>
#include <span>
#include <vector>

#include "core/time.h"
#include "orders/order.h"

namespace jackdaw {

/// State of an item in the ledger. kSettling takes no memory; it keeps the
/// item from being ordered again while an old order may still arrive.
enum class HoldingState : std::uint8_t {
  kLoading,
  kResident,
  kUnloading,
  kSettling
};

/// What the ledger keeps of one item.
struct Holding {
  std::int64_t memory_mb = 0;
  HoldingState state = HoldingState::kLoading;
  /// From then on no load order for the item can still arrive.
  Instant load_settled_at{};
  /// From then on no order at all for the item can still arrive.
  Instant settled_at{};
};

/// The accelerator memory of one target: resident, loading and uncertain items
/// beside the KV reserve. Memory becomes free only by a report that was asked
/// for after the last load order that may still arrive.
class MemoryLedger {
 public:
  /// @param capacity_mb memory of the target
  /// @param reserve_mb part kept for the KV cache
  MemoryLedger(std::int64_t capacity_mb, std::int64_t reserve_mb)
      : capacity_mb_(capacity_mb), reserve_mb_(reserve_mb) {}

  /// Whether a load of the item may be ordered now.
  bool CanLoad(const Artifact& item, std::int64_t memory_mb) const;
  /// Whether the item is resident with no order for it under way.
  bool IsReady(const Artifact& item) const;

  /// Takes the memory of a load that will be or may have been ordered.
  void OnLoad(const Artifact& item, std::int64_t memory_mb, Instant settled_at);
  /// Marks an item as being unloaded; its memory stays taken.
  void OnUnload(const Artifact& item, Instant settled_at);
  /// Takes over an order of an earlier holder that may still arrive.
  void Adopt(const Order& order, Instant settled_at);
  /// Changes the moment from which orders for an item are settled.
  void Settle(const Artifact& item, OrderOp op, Instant settled_at);
  /// Joins the engine's own account. @param asked_at when it was asked for
  void OnReport(Instant asked_at, std::span<const EngineArtifact> items);

  std::int64_t taken_mb() const { return taken_mb_; }
  std::int64_t free_mb() const {
    return capacity_mb_ - reserve_mb_ - taken_mb_;
  }
  std::int64_t capacity_mb() const { return capacity_mb_; }
  const std::map<Artifact, Holding>& holdings() const { return holdings_; }

 private:
  void JoinPresent(Instant asked_at, const EngineArtifact& entry);
  // @returns whether the holding is gone for certain
  bool JoinAbsent(Instant asked_at, Holding& holding);
  void SetMemory(Holding& holding, std::int64_t memory_mb);

  std::int64_t capacity_mb_;
  std::int64_t reserve_mb_;
  std::int64_t taken_mb_ = 0;
  Instant last_asked_at_{};
  std::map<Artifact, Holding> holdings_;
};

}  // namespace jackdaw
