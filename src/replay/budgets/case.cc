#include "replay/budgets/case.h"

#include <array>

namespace jackdaw {

std::span<const BudgetCase> BudgetCases() {
  static constexpr std::array kCases{
      BudgetCase{.name = "no-fault"},
      BudgetCase{.name = "skewed-entry", .skew = 0.8},
      BudgetCase{.name = "surge", .surge = 5},
      BudgetCase{.name = "lost-one", .lose_one = true},
      BudgetCase{.name = "lost-quarter", .lost_of_64 = 16},
      BudgetCase{.name = "store-outage", .outage = true},
      BudgetCase{.name = "lost-answers", .lost_answers = 5},
      BudgetCase{.name = "paused-holder", .pause = 30s},
      BudgetCase{.name = "partition", .cut_of_64 = 21},
      BudgetCase{.name = "halved-in-partition", .cut_of_64 = 21, .halve = true},
  };
  return kCases;
}

std::string_view Name(BudgetWay way) {
  switch (way) {
    case BudgetWay::kEscrow:
      return "escrow";
    case BudgetWay::kEqualSplit:
      return "equal-split";
    case BudgetWay::kShortLeases:
      return "short-leases";
    case BudgetWay::kAskOwner:
      return "ask-owner";
  }
  return "";
}

}  // namespace jackdaw
