#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// A fault or a shape of load that budgets are measured under.
struct BudgetCase {
  std::string_view name;
  /// Part of a workspace's requests that come in at one instance.
  double skew = 0;
  /// Demand of the first workspace, as a multiple of what it has otherwise.
  double surge = 1;
  /// Instances that die, as parts of 64; 1 for a single one.
  std::int64_t lost_of_64 = 0;
  bool lose_one = false;
  /// The table service is down for the length of the fault.
  bool outage = false;
  /// One answer in so many is lost after its write took effect; 0 for none.
  std::int64_t lost_answers = 0;
  /// One instance stands still for this long.
  Micros pause{};
  /// Part of the instances, of 64, that cannot reach the table service.
  std::int64_t cut_of_64 = 0;
  /// Rate and burst are halved while the fault lasts.
  bool halve = false;
};

std::span<const BudgetCase> BudgetCases();

/// Ways to hold budgets that are compared.
enum class BudgetWay : std::uint8_t {
  kEscrow,
  kEqualSplit,
  kShortLeases,
  kAskOwner,
};

std::string_view Name(BudgetWay way);

/// Length of the run and the place of the fault in it.
struct BudgetRun {
  std::uint64_t seed = 1;
  std::int64_t instances = 8;
  std::int64_t workspaces = 5;
  /// Requests a second over all workspaces, without a surge.
  double requests_per_s = 200;
  /// Time before the fault, for the shares to find their places.
  Micros warm_up = 60s;
  Micros fault = 600s;
  Micros after = 60s;
};

}  // namespace jackdaw
