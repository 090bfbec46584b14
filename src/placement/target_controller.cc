#include "placement/target_controller.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// An item that no engine has; unloading it makes an engine that checks
// fencing numbers take the new one and changes nothing else.
constexpr std::string_view kFenceItem = "fencing-number";

}  // namespace

TargetController::TargetController(ControlledTarget target,
                                   std::string self,
                                   OrderTiming timing)
    : target_(std::move(target)),
      timing_(timing),
      lease_(LeaseKey(target_.name), std::move(self), timing.lease_term),
      ledger_(target_.capacity_mb, target_.reserve_mb) {}

void TargetController::OnRow(Instant now,
                             std::uint64_t version,
                             const LeaseRow& row) {
  const std::uint64_t fence = lease_.fence();
  const Instant deadline = lease_.deadline();
  lease_.OnRow(now, version, row);
  if (lease_.deadline() == Instant{}) {
    DropLease();
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
  if (!lease_.HeldAt(now) && ledger_fence_ != 0 && !lease_.unsure()) {
    DropLease();
  }
  const bool release = !wanted && pending_.empty();
  auto write = lease_.Next(now, lease_.HeldAt(now) ? !release : wanted,
                           PendingOrders(), must_write_);
  if (write) {
    writing_ = pending_.size();
  }
  return write;
}

// A version of 0 means that the lease already has the write's outcome.
void TargetController::OnCommitted(Instant now,
                                   Instant asked_at,
                                   std::uint64_t version) {
  if (version != 0) {
    lease_.OnCommitted(asked_at, version);
  }
  if (lease_.deadline() == Instant{}) {
    DropLease();
    return;
  }
  if (lease_.fence() != ledger_fence_) {
    TakeOver(now);
    return;
  }
  for (std::size_t i = 0; i < std::min(writing_, pending_.size()); ++i) {
    if (pending_[i].stage == Stage::kAsked) {
      pending_[i].stage = Stage::kRecorded;
    }
  }
  must_write_ = std::any_of(
      pending_.begin(), pending_.end(),
      [](const Pending& entry) { return entry.stage == Stage::kAsked; });
}

void TargetController::OnConflict() {
  lease_.OnConflict();
  DropLease();
}

void TargetController::DropLease() {
  pending_.clear();
  ledger_ = MemoryLedger(target_.capacity_mb, target_.reserve_mb);
  ledger_fence_ = 0;
  writing_ = 0;
  must_write_ = false;
  state_read_ = false;
  waited_out_at_ = Instant::max();
}

// Starts anew under a new fencing number: orders that earlier holders
// recorded count as taken until they are settled. An engine that checks
// fencing numbers is told the new one first; another is waited out.
void TargetController::TakeOver(Instant now) {
  DropLease();
  ledger_fence_ = lease_.fence();
  const Instant settled_at =
      target_.checks_fence
          ? Instant::max()
          : now + timing_.longest_pause + timing_.longest_flight;
  for (const auto& order : lease_.row().pending) {
    if (order.item.name != kFenceItem) {
      pending_.push_back({order, Stage::kEnded, true, settled_at});
      ledger_.Adopt(order, settled_at);
    }
  }
  if (target_.checks_fence) {
    Ask(OrderOp::kUnload, {ArtifactKind::kModel, std::string(kFenceItem)}, 0);
  } else {
    waited_out_at_ = now + timing_.longest_flight;
  }
}

bool TargetController::IsReady(Instant now) const {
  return state_read_ && lease_.HeldAt(now);
}

void TargetController::Ask(OrderOp op,
                           const Artifact& item,
                           std::int64_t memory_mb) {
  Order order;
  order.id = target_.name + "-" + std::to_string(lease_.fence()) + "-" +
             std::to_string(++order_count_);
  order.fence = lease_.fence();
  order.op = op;
  order.item = item;
  order.memory_mb = memory_mb;
  pending_.push_back({std::move(order), Stage::kAsked, false, Instant::max()});
  must_write_ = true;
}

bool TargetController::Load(Instant now,
                            const Artifact& item,
                            std::int64_t memory_mb) {
  if (!IsReady(now) || !ledger_.CanLoad(item, memory_mb)) {
    return false;
  }
  ledger_.OnLoad(item, memory_mb, Instant::max());
  Ask(OrderOp::kLoad, item, memory_mb);
  return true;
}

bool TargetController::Unload(Instant now, const Artifact& item) {
  if (!IsReady(now) || !ledger_.IsReady(item)) {
    return false;
  }
  ledger_.OnUnload(item, Instant::max());
  Ask(OrderOp::kUnload, item, 0);
  return true;
}

std::optional<Order> TargetController::NextOrder(Instant now) {
  if (!lease_.HeldAt(now) || lease_.fence() != ledger_fence_) {
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

void TargetController::SettleAdopted(Instant settled_at) {
  for (auto& entry : pending_) {
    if (entry.adopted) {
      entry.settled_at = std::min(entry.settled_at, settled_at);
      ledger_.Settle(entry.order.item, entry.order.op, entry.settled_at);
    }
  }
}

void TargetController::OnOrderEnded(Instant now,
                                    std::string_view id,
                                    OrderOutcome outcome) {
  const auto found =
      std::find_if(pending_.begin(), pending_.end(),
                   [&](const Pending& entry) { return entry.order.id == id; });
  if (found == pending_.end()) {
    return;
  }
  Pending& entry = *found;
  const bool is_fence = entry.order.item.name == kFenceItem;
  if (is_fence && outcome != OrderOutcome::kAccepted) {
    entry.stage = Stage::kRecorded;
    return;
  }
  entry.stage = Stage::kEnded;
  entry.settled_at = is_fence ? now : now + timing_.longest_flight;
  if (is_fence) {
    waited_out_at_ = now;
    SettleAdopted(now);
  }
  ledger_.Settle(entry.order.item, entry.order.op, entry.settled_at);
}

void TargetController::OnReport(Instant asked_at,
                                std::span<const EngineArtifact> items) {
  if (ledger_fence_ == 0) {
    return;
  }
  ledger_.OnReport(asked_at, items);
  if (asked_at >= waited_out_at_) {
    state_read_ = true;
  }
  const auto settled = [&](const Pending& entry) {
    return entry.stage == Stage::kEnded && asked_at >= entry.settled_at;
  };
  const std::size_t removed = std::erase_if(pending_, settled);
  if (removed > 0) {
    must_write_ = true;
    writing_ = 0;
  }
}

}  // namespace jackdaw
