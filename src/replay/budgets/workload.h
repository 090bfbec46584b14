#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/random.h"
#include "replay/budgets/case.h"

namespace jackdaw {

/// A request of the load.
struct LoadRequest {
  std::size_t workspace = 0;
  /// Tokens charged at first, and those of them given back at the end.
  std::int64_t charge = 0;
  std::int64_t unused = 0;
  Micros service{};
};

/// Load of a few large and some small workspaces with Poisson arrivals, at
/// 70% of each one's rate where it does not surge.
class BudgetLoad {
 public:
  BudgetLoad(const BudgetRun& run, const BudgetCase& shape);

  /// Time to the next arrival.
  Micros NextGap(Random& random, bool in_fault) const;
  LoadRequest Next(Random& random, bool in_fault) const;

  std::int64_t RateOf(std::size_t workspace) const { return rates_[workspace]; }
  std::int64_t BurstOf(std::size_t workspace) const;
  std::size_t workspaces() const { return weights_.size(); }
  static std::string NameOf(std::size_t workspace) {
    return "w" + std::to_string(workspace);
  }

 private:
  double SurgeOf(std::size_t workspace, bool in_fault) const;

  double requests_per_s_;
  double surge_;
  std::vector<double> weights_;
  std::vector<std::int64_t> rates_;
};

}  // namespace jackdaw
