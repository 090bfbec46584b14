#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "core/time.h"

namespace jackdaw::serving {

/// Model or adapter of a service that requests ask for.
struct ModelKey {
  std::string service;
  /// `model` or `model/adapter`.
  std::string model;
  bool operator<(const ModelKey& other) const {
    return std::tie(service, model) < std::tie(other.service, other.model);
  }
};

/// Requests and tokens asked for, per second, as a moving average.
struct Demand {
  double requests = 0;
  double tokens = 0;
  /// Requests that were refused since no target held the model.
  double unmet = 0;
};

/// Counts what callers ask for at this instance.
class DemandMeter {
 public:
  void OnRequest(const ModelKey& key, double tokens, bool unmet);
  /// Ends a period and folds it into the averages.
  void EndPeriod(Instant now);
  const std::map<ModelKey, Demand>& averages() const { return averages_; }

 private:
  std::map<ModelKey, Demand> counts_;
  std::map<ModelKey, Demand> averages_;
  Instant period_start_{};
};

}  // namespace jackdaw::serving
