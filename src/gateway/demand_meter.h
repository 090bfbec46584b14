#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "core/time.h"

namespace jackdaw::serving {

/// A model or adapter of a service.
struct ModelKey {
  std::string service;
  /// `model` or `model/adapter`.
  std::string model;
  bool operator<(const ModelKey& other) const {
    return std::tie(service, model) < std::tie(other.service, other.model);
  }
};

/// Demand for a model, per second, as a moving average.
struct Demand {
  double requests = 0;
  double tokens = 0;
  /// Requests that were rejected because no target could take them, for
  /// example since none holds the model.
  double unmet = 0;
};

/// Measures the demand for models at this instance.
class DemandMeter {
 public:
  /// Counts a request. @param unmet whether no target could take it
  void OnRequest(const ModelKey& key, double tokens, bool unmet);
  /// Ends a measuring period and adds it to the averages.
  void EndPeriod(Instant now);
  const std::map<ModelKey, Demand>& averages() const { return averages_; }

 private:
  /// Sums of the current period, not rates.
  std::map<ModelKey, Demand> counts_;
  std::map<ModelKey, Demand> averages_;
  Instant period_start_{};
};

}  // namespace jackdaw::serving
