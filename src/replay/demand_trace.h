#pragma once

#include <cstdint>
#include <vector>

#include "core/random.h"

namespace jackdaw {

/// Generated demand: each model's rate moves up to tenfold within the hour,
/// at moments and by factors of its own.
class DemandTrace {
 public:
  /// @param total mean demand of all models, tokens a second
  DemandTrace(std::uint64_t seed, int models, int seconds, double total);

  /// Tokens a second of a model at a second.
  double At(int model, int second) const {
    return rates_[static_cast<std::size_t>(model)]
                 [static_cast<std::size_t>(second)];
  }
  /// Mean and maximum over the seconds [from, from + span).
  double Mean(int model, int from, int span) const;
  double Most(int model, int from, int span) const;

 private:
  std::vector<std::vector<double>> rates_;
};

}  // namespace jackdaw
