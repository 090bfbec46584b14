#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// Smooths the noisy token rate of each model into an estimate of its demand
/// that rises quickly and falls slowly, and keeps a decaying recent peak. Pure.
class DemandEstimator {
 public:
  /// Estimate for one model, in tokens per second.
  struct Value {
    double demand = 0;
    double peak = 0;
    /// When the estimate was last updated.
    Instant at{};
  };

  /// Adds the rate measured since the last call for the model.
  void OnRate(Instant now, std::string_view model, double tokens_per_s);
  /// Returns the estimate; zero for a model without any rate.
  Value EstimateFor(std::string_view model) const;

 private:
  std::map<std::string, Value, std::less<>> values_;
};

}  // namespace jackdaw
