#include "placement/memory_accounting.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {

bool MemoryAccounting::CanLoad(const Artifact& item,
                               std::int64_t memory_mb) const {
  return !allocations_.contains(item) && memory_mb <= free_mb();
}

bool MemoryAccounting::IsReady(const Artifact& item) const {
  const auto found = allocations_.find(item);
  return found != allocations_.end() &&
         found->second.state == AllocationState::kResident;
}

void MemoryAccounting::SetMemory(Allocation& allocation,
                                 std::int64_t memory_mb) {
  used_mb_ += memory_mb - allocation.memory_mb;
  allocation.memory_mb = memory_mb;
}

void MemoryAccounting::AllocateForLoad(const Artifact& item,
                                       std::int64_t memory_mb,
                                       Instant settled_at) {
  CheckInvariant(CanLoad(item, memory_mb),
                 "a load needs free memory and an item without an entry");
  Allocation& allocation = allocations_[item];
  SetMemory(allocation, memory_mb);
  allocation.state = AllocationState::kLoading;
  allocation.load_settled_at = settled_at;
  allocation.settled_at = settled_at;
  CheckInvariant(free_mb() >= 0, "a load must not overcommit the memory");
}

void MemoryAccounting::MarkUnloading(const Artifact& item, Instant settled_at) {
  const auto found = allocations_.find(item);
  CheckInvariant(found != allocations_.end() &&
                     found->second.state == AllocationState::kResident,
                 "only a resident item may be unloaded");
  found->second.state = AllocationState::kUnloading;
  found->second.settled_at = settled_at;
}

void MemoryAccounting::OnInheritedOrder(const Order& order,
                                        Instant settled_at) {
  Allocation& allocation = allocations_[order.item];
  if (order.op == OrderOp::kLoad) {
    SetMemory(allocation, std::max(allocation.memory_mb, order.memory_mb));
    allocation.load_settled_at = settled_at;
  } else {
    allocation.state = AllocationState::kUnloading;
  }
  allocation.settled_at = settled_at;
}

void MemoryAccounting::Settle(const Artifact& item,
                              OrderOp op,
                              Instant settled_at) {
  if (const auto found = allocations_.find(item); found != allocations_.end()) {
    found->second.settled_at = settled_at;
    if (op == OrderOp::kLoad) {
      found->second.load_settled_at = settled_at;
    }
  }
}

void MemoryAccounting::MergePresent(Instant requested_at,
                                    const EngineArtifact& entry) {
  const auto [found, added] = allocations_.try_emplace(entry.item);
  Allocation& allocation = found->second;
  if (added || allocation.memory_mb < entry.memory_mb) {
    SetMemory(allocation, entry.memory_mb);
  }
  const bool unload_may_arrive =
      !added && requested_at < allocation.settled_at &&
      (allocation.state == AllocationState::kUnloading ||
       allocation.state == AllocationState::kSettling);
  if (unload_may_arrive || entry.state == ArtifactState::kUnloading) {
    allocation.state = AllocationState::kUnloading;
  } else if (entry.state == ArtifactState::kLoading) {
    allocation.state = AllocationState::kLoading;
  } else {
    allocation.state = AllocationState::kResident;
  }
}

bool MemoryAccounting::MergeAbsent(Instant requested_at,
                                   Allocation& allocation) {
  if (requested_at >= allocation.load_settled_at &&
      (allocation.state == AllocationState::kUnloading ||
       requested_at >= allocation.settled_at)) {
    SetMemory(allocation, 0);
    allocation.state = AllocationState::kSettling;
  } else if (allocation.state == AllocationState::kResident) {
    // An order that is not settled may still load the item, so its memory
    // remains allocated.
    allocation.state = AllocationState::kLoading;
  }
  return allocation.state == AllocationState::kSettling &&
         requested_at >= allocation.settled_at;
}

void MemoryAccounting::OnReport(Instant requested_at,
                                std::span<const EngineArtifact> items) {
  if (requested_at < last_report_requested_at_) {
    return;
  }
  last_report_requested_at_ = requested_at;
  for (const auto& entry : items) {
    MergePresent(requested_at, entry);
  }
  for (auto at = allocations_.begin(); at != allocations_.end();) {
    const bool present = std::any_of(
        items.begin(), items.end(),
        [&](const EngineArtifact& entry) { return entry.item == at->first; });
    at = !present && MergeAbsent(requested_at, at->second)
             ? allocations_.erase(at)
             : std::next(at);
  }
}

}  // namespace jackdaw
