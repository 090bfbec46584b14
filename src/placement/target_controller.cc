#include "placement/target_controller.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Name of an item that no engine holds. An order to unload it makes an engine
// that checks fencing numbers adopt the new number and has no other effect.
constexpr std::string_view kFenceItem = "fencing-number";

}  // namespace

TargetController::TargetController(ControlledTarget target,
                                   std::string self,
                                   OrderTiming timing)
    : target_(std::move(target)),
      timing_(timing),
      lease_(LeaseKey(target_.name), std::move(self), timing.lease_term),
      memory_(target_.capacity_mb, target_.reserve_mb) {}

void TargetController::OnRow(Instant now,
                             std::uint64_t version,
                             const LeaseRow& row) {
  const std::uint64_t fence = lease_.fence();
  const Instant deadline = lease_.deadline();
  lease_.OnRow(now, version, row);
  if (lease_.deadline() == Instant{}) {
    OnLeaseLost();
  } else if (lease_.fence() != fence) {
    TakeOver(now);
  } else if (lease_.deadline() != deadline) {
    OnCommitted(now, deadline, 0);
  }
}

std::vector<Order> TargetController::PendingOrders() const {
  std::vector<Order> orders;
  for (const auto& entry : pending_) {
    orders.push_back(entry.order);
  }
  return orders;
}

std::optional<Transaction> TargetController::NextWrite(Instant now,
                                                       bool wanted) {
  if (!lease_.HeldAt(now) && memory_fence_ != 0 &&
      !lease_.has_unsettled_write()) {
    OnLeaseLost();
  }
  const bool release = !wanted && pending_.empty();
  auto write =
      lease_.NextTransaction(now, lease_.HeldAt(now) ? !release : wanted,
                             PendingOrders(), must_write_);
  if (write) {
    orders_in_write_ = pending_.size();
  }
  return write;
}

// At a version of 0, lease_ already knows of the commit from reading the row.
void TargetController::OnCommitted(Instant now,
                                   Instant requested_at,
                                   std::uint64_t version) {
  if (version != 0) {
    lease_.OnCommitted(requested_at, version);
  }
  if (lease_.deadline() == Instant{}) {
    OnLeaseLost();
    return;
  }
  if (lease_.fence() != memory_fence_) {
    TakeOver(now);
    return;
  }
  for (std::size_t i = 0; i < std::min(orders_in_write_, pending_.size());
       ++i) {
    if (pending_[i].stage == Stage::kRequested) {
      pending_[i].stage = Stage::kRecorded;
    }
  }
  must_write_ = std::any_of(pending_.begin(), pending_.end(),
                            [](const PendingOrder& entry) {
                              return entry.stage == Stage::kRequested;
                            });
}

void TargetController::OnConflict() {
  lease_.OnConflict();
  OnLeaseLost();
}

void TargetController::OnLeaseLost() {
  pending_.clear();
  memory_ = MemoryAccounting(target_.capacity_mb, target_.reserve_mb);
  memory_fence_ = 0;
  orders_in_write_ = 0;
  must_write_ = false;
  state_read_ = false;
  reports_complete_from_ = Instant::max();
}

// Resets the state for a new fencing number. Orders that earlier holders
// recorded occupy memory until they are settled. An engine that checks fencing
// numbers first receives the new one; for any other engine the controller
// waits until earlier orders can no longer arrive.
void TargetController::TakeOver(Instant now) {
  OnLeaseLost();
  memory_fence_ = lease_.fence();
  const Instant settled_at =
      target_.checks_fence
          ? Instant::max()
          : now + timing_.max_holder_pause + timing_.max_delivery_delay;
  for (const auto& order : lease_.row().pending) {
    if (order.item.name != kFenceItem) {
      pending_.push_back({order, Stage::kEnded, true, settled_at});
      memory_.OnInheritedOrder(order, settled_at);
    }
  }
  if (target_.checks_fence) {
    EnqueueOrder(OrderOp::kUnload,
                 {ArtifactKind::kModel, std::string(kFenceItem)}, 0);
  } else {
    reports_complete_from_ = now + timing_.max_delivery_delay;
  }
}

bool TargetController::IsReady(Instant now) const {
  return state_read_ && lease_.HeldAt(now);
}

void TargetController::EnqueueOrder(OrderOp op,
                                    const Artifact& item,
                                    std::int64_t memory_mb) {
  Order order;
  order.id = target_.name + "-" + std::to_string(lease_.fence()) + "-" +
             std::to_string(++order_count_);
  order.fence = lease_.fence();
  order.op = op;
  order.item = item;
  order.memory_mb = memory_mb;
  pending_.push_back(
      {std::move(order), Stage::kRequested, false, Instant::max()});
  must_write_ = true;
}

bool TargetController::Load(Instant now,
                            const Artifact& item,
                            std::int64_t memory_mb) {
  if (!IsReady(now) || !memory_.CanLoad(item, memory_mb)) {
    return false;
  }
  memory_.AllocateForLoad(item, memory_mb, Instant::max());
  EnqueueOrder(OrderOp::kLoad, item, memory_mb);
  return true;
}

bool TargetController::Unload(Instant now, const Artifact& item) {
  if (!IsReady(now) || !memory_.IsReady(item)) {
    return false;
  }
  memory_.MarkUnloading(item, Instant::max());
  EnqueueOrder(OrderOp::kUnload, item, 0);
  return true;
}

std::optional<Order> TargetController::NextOrder(Instant now) {
  if (!lease_.HeldAt(now) || lease_.fence() != memory_fence_) {
    return std::nullopt;
  }
  for (auto& entry : pending_) {
    if (entry.stage == Stage::kRecorded) {
      entry.stage = Stage::kSent;
      return entry.order;
    }
  }
  return std::nullopt;
}

void TargetController::SettleInherited(Instant settled_at) {
  for (auto& entry : pending_) {
    if (entry.inherited) {
      entry.settled_at = std::min(entry.settled_at, settled_at);
      memory_.Settle(entry.order.item, entry.order.op, entry.settled_at);
    }
  }
}

void TargetController::OnOrderEnded(Instant now,
                                    std::string_view id,
                                    OrderOutcome outcome) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const PendingOrder& entry) { return entry.order.id == id; });
  if (found == pending_.end()) {
    return;
  }
  PendingOrder& entry = *found;
  const bool is_fence = entry.order.item.name == kFenceItem;
  // The controller is not ready before the engine has the new fencing number,
  // so this order is sent until it is accepted.
  if (is_fence && outcome != OrderOutcome::kAccepted) {
    entry.stage = Stage::kRecorded;
    return;
  }
  entry.stage = Stage::kEnded;
  entry.settled_at = is_fence ? now : now + timing_.max_delivery_delay;
  if (is_fence) {
    reports_complete_from_ = now;
    SettleInherited(now);
  }
  memory_.Settle(entry.order.item, entry.order.op, entry.settled_at);
}

void TargetController::OnReport(Instant requested_at,
                                std::span<const EngineArtifact> items) {
  if (memory_fence_ == 0) {
    return;
  }
  memory_.OnReport(requested_at, items);
  if (requested_at >= reports_complete_from_) {
    state_read_ = true;
  }
  const auto settled = [&](const PendingOrder& entry) {
    return entry.stage == Stage::kEnded && requested_at >= entry.settled_at;
  };
  const std::size_t removed = std::erase_if(pending_, settled);
  if (removed > 0) {
    must_write_ = true;
    orders_in_write_ = 0;
  }
}

}  // namespace jackdaw
