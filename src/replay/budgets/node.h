#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "budget/config_validity.h"
#include "budget/equal_split.h"
#include "budget/escrow_budget.h"
#include "budget/wait_queue.h"
#include "core/time.h"

namespace jackdaw {

/// A request that waits at a node for its budget.
struct PendingRequest {
  std::size_t workspace = 0;
  std::int64_t charge = 0;
  std::int64_t unused = 0;
};

/// One instance of a run: the real budgets and queue, and what the run knows
/// of it.
template <BudgetScheme Budget>
struct BudgetNode {
  BudgetNode(std::string given, Budget scheme)
      : name(std::move(given)),
        budget(std::move(scheme)),
        queue(budget),
        confirmation(name) {}
  BudgetNode(const BudgetNode&) = delete;
  BudgetNode& operator=(const BudgetNode&) = delete;

  std::string name;
  Budget budget;
  WaitQueue<Budget> queue;
  ConfigValidity confirmation;
  std::map<std::uint64_t, PendingRequest> pending;
  bool alive = true;
  bool cut = false;
  bool looking = false;
  bool in_round = false;
  Instant paused_until{};
  std::int64_t bytes = 0;
  std::uint64_t config_version = 0;
  std::size_t next_probe = 0;
};

}  // namespace jackdaw
