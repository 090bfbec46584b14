#pragma once

#include <map>
#include <vector>

#include "orders/order.h"

namespace jackdaw {

/// A model engine in a test: carries out orders, with or without a look at
/// fencing numbers, and notes when its memory was overcommitted.
struct OrderEngine {
  struct Slot {
    std::int64_t memory_mb = 0;
    ArtifactState state = ArtifactState::kLoading;
    Instant done_at{};
  };

  std::int64_t capacity_mb = 0;
  bool checks_fence = true;
  std::uint64_t fence = 0;
  bool overcommitted = false;
  int carried_out = 0;
  int refused = 0;
  std::map<Artifact, Slot> slots;

  void Advance(Instant now) {
    for (auto at = slots.begin(); at != slots.end();) {
      const bool done = at->second.done_at <= now;
      if (done && at->second.state == ArtifactState::kUnloading) {
        at = slots.erase(at);
        continue;
      }
      if (done) {
        at->second.state = ArtifactState::kResident;
      }
      ++at;
    }
  }

  OrderOutcome Carry(Instant now, const Order& order, Micros takes) {
    Advance(now);
    if (checks_fence && order.fence < fence) {
      ++refused;
      return OrderOutcome::kRejected;
    }
    fence = std::max(fence, order.fence);
    ++carried_out;
    const auto found = slots.find(order.item);
    if (order.op == OrderOp::kLoad && found == slots.end()) {
      slots[order.item] = {order.memory_mb, ArtifactState::kLoading,
                           now + takes};
      std::int64_t used = 0;
      for (const auto& [item, slot] : slots) {
        used += slot.memory_mb;
      }
      overcommitted = overcommitted || used > capacity_mb;
    } else if (order.op == OrderOp::kUnload && found != slots.end()) {
      found->second.state = ArtifactState::kUnloading;
      found->second.done_at = now + takes;
    }
    return OrderOutcome::kAccepted;
  }

  std::vector<EngineArtifact> Items(Instant now) {
    Advance(now);
    std::vector<EngineArtifact> items;
    for (const auto& [item, slot] : slots) {
      items.push_back({item, slot.memory_mb, slot.state});
    }
    return items;
  }

  bool Serves(const Artifact& item) const {
    const auto found = slots.find(item);
    return found != slots.end() &&
           found->second.state == ArtifactState::kResident;
  }
};

}  // namespace jackdaw
