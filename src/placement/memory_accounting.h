#pragma once

#include <map>
#include <span>
#include <vector>

#include "core/time.h"
#include "orders/order.h"

namespace jackdaw {

/// State of an item at the target. A kSettling item occupies no memory; its
/// entry prevents a new order for the item while an old one may still arrive.
enum class AllocationState : std::uint8_t {
  kLoading,
  kResident,
  kUnloading,
  kSettling
};

/// Memory that one item occupies or may come to occupy.
struct Allocation {
  std::int64_t memory_mb = 0;
  AllocationState state = AllocationState::kLoading;
  /// Time from which no load order for the item can reach the engine.
  Instant load_settled_at{};
  /// Time from which no order of any kind for the item can reach the engine.
  Instant settled_at{};
};

/// Accounts for the accelerator memory of one target: resident and loading
/// items and those with an uncertain order, beside the KV cache reserve. Memory
/// is freed only by a report requested after the last load order for the item
/// has settled, that is, can no longer reach the engine.
class MemoryAccounting {
 public:
  /// @param capacity_mb memory of the target
  /// @param reserve_mb part kept for the KV cache
  MemoryAccounting(std::int64_t capacity_mb, std::int64_t reserve_mb)
      : capacity_mb_(capacity_mb), reserve_mb_(reserve_mb) {}

  /// Whether the item has no entry and fits into the free memory.
  bool CanLoad(const Artifact& item, std::int64_t memory_mb) const;
  /// Whether the item is resident and no unload of it was ordered.
  bool IsReady(const Artifact& item) const;

  /// Allocates memory for a load that is about to be ordered.
  void AllocateForLoad(const Artifact& item,
                       std::int64_t memory_mb,
                       Instant settled_at);
  /// Marks an item as unloading; its memory remains allocated.
  void MarkUnloading(const Artifact& item, Instant settled_at);
  /// Accounts for an order of an earlier holder that may still arrive.
  void OnInheritedOrder(const Order& order, Instant settled_at);
  /// Sets the time from which an order for an item is settled.
  void Settle(const Artifact& item, OrderOp op, Instant settled_at);
  /// Merges the engine's report of its items. Ignores a report requested before
  /// the latest one merged. @param requested_at when it was requested
  void OnReport(Instant requested_at, std::span<const EngineArtifact> items);

  std::int64_t used_mb() const { return used_mb_; }
  std::int64_t free_mb() const { return capacity_mb_ - reserve_mb_ - used_mb_; }
  std::int64_t capacity_mb() const { return capacity_mb_; }
  const std::map<Artifact, Allocation>& allocations() const {
    return allocations_;
  }

 private:
  void MergePresent(Instant requested_at, const EngineArtifact& entry);
  // @returns whether the item is gone and all orders for it are settled
  bool MergeAbsent(Instant requested_at, Allocation& allocation);
  void SetMemory(Allocation& allocation, std::int64_t memory_mb);

  std::int64_t capacity_mb_;
  std::int64_t reserve_mb_;
  std::int64_t used_mb_ = 0;
  Instant last_report_requested_at_{};
  std::map<Artifact, Allocation> allocations_;
};

}  // namespace jackdaw
