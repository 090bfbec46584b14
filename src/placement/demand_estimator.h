#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// Demand for each model from a noisy rate: quick to rise, slow to fall, with
/// the recent peak beside it. Pure.
class DemandEstimator {
 public:
  /// What is known of one model, in tokens a second.
  struct Value {
    double demand = 0;
    double peak = 0;
    Instant at{};
  };

  /// A rate over the time since the last call for the model.
  void OnRate(Instant now, std::string_view model, double tokens_per_s);
  Value EstimateFor(std::string_view model) const;

 private:
  std::map<std::string, Value, std::less<>> values_;
};

}  // namespace jackdaw
