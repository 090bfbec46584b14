#include "placement/memory_ledger.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {

bool MemoryLedger::CanLoad(const Artifact& item, std::int64_t memory_mb) const {
  return !holdings_.contains(item) && memory_mb <= free_mb();
}

bool MemoryLedger::IsReady(const Artifact& item) const {
  const auto found = holdings_.find(item);
  return found != holdings_.end() &&
         found->second.state == HoldingState::kResident;
}

void MemoryLedger::SetMemory(Holding& holding, std::int64_t memory_mb) {
  taken_mb_ += memory_mb - holding.memory_mb;
  holding.memory_mb = memory_mb;
}

void MemoryLedger::OnLoad(const Artifact& item,
                          std::int64_t memory_mb,
                          Instant settled_at) {
  CheckInvariant(CanLoad(item, memory_mb),
                 "resident + loading + reserve fit the target's memory");
  Holding& holding = holdings_[item];
  SetMemory(holding, memory_mb);
  holding.state = HoldingState::kLoading;
  holding.load_settled_at = settled_at;
  holding.settled_at = settled_at;
  CheckInvariant(free_mb() >= 0, "a load never overcommits the memory");
}

void MemoryLedger::OnUnload(const Artifact& item, Instant settled_at) {
  const auto found = holdings_.find(item);
  CheckInvariant(found != holdings_.end() &&
                     found->second.state == HoldingState::kResident,
                 "only a resident item is unloaded");
  found->second.state = HoldingState::kUnloading;
  found->second.settled_at = settled_at;
}

void MemoryLedger::Adopt(const Order& order, Instant settled_at) {
  Holding& holding = holdings_[order.item];
  if (order.op == OrderOp::kLoad) {
    SetMemory(holding, std::max(holding.memory_mb, order.memory_mb));
    holding.load_settled_at = settled_at;
  } else {
    holding.state = HoldingState::kUnloading;
  }
  holding.settled_at = settled_at;
}

void MemoryLedger::Settle(const Artifact& item,
                          OrderOp op,
                          Instant settled_at) {
  if (const auto found = holdings_.find(item); found != holdings_.end()) {
    found->second.settled_at = settled_at;
    if (op == OrderOp::kLoad) {
      found->second.load_settled_at = settled_at;
    }
  }
}

void MemoryLedger::JoinPresent(Instant asked_at, const EngineArtifact& entry) {
  const auto [found, added] = holdings_.try_emplace(entry.item);
  Holding& holding = found->second;
  if (added || holding.memory_mb < entry.memory_mb) {
    SetMemory(holding, entry.memory_mb);
  }
  const bool unload_may_come = !added && asked_at < holding.settled_at &&
                               (holding.state == HoldingState::kUnloading ||
                                holding.state == HoldingState::kSettling);
  if (unload_may_come || entry.state == ArtifactState::kUnloading) {
    holding.state = HoldingState::kUnloading;
  } else if (entry.state == ArtifactState::kLoading) {
    holding.state = HoldingState::kLoading;
  } else {
    holding.state = HoldingState::kResident;
  }
}

bool MemoryLedger::JoinAbsent(Instant asked_at, Holding& holding) {
  if (asked_at >= holding.load_settled_at &&
      (holding.state == HoldingState::kUnloading ||
       asked_at >= holding.settled_at)) {
    SetMemory(holding, 0);
    holding.state = HoldingState::kSettling;
  } else if (holding.state == HoldingState::kResident) {
    holding.state = HoldingState::kLoading;
  }
  return holding.state == HoldingState::kSettling &&
         asked_at >= holding.settled_at;
}

void MemoryLedger::OnReport(Instant asked_at,
                            std::span<const EngineArtifact> items) {
  if (asked_at < last_asked_at_) {
    return;
  }
  last_asked_at_ = asked_at;
  for (const auto& entry : items) {
    JoinPresent(asked_at, entry);
  }
  for (auto at = holdings_.begin(); at != holdings_.end();) {
    const bool present = std::any_of(
        items.begin(), items.end(),
        [&](const EngineArtifact& entry) { return entry.item == at->first; });
    at = !present && JoinAbsent(asked_at, at->second) ? holdings_.erase(at)
                                                      : std::next(at);
  }
}

}  // namespace jackdaw
