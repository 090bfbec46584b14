#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "core/random.h"
#include "replay/quotas/quota_case.h"

namespace jackdaw {

/// A request of the load.
struct QuotaRequest {
  std::size_t workspace = 0;
  double units = 0;
};

/// Load of a few large and many small workspaces: generations of a wide range
/// of sizes, and plain requests of a fixed size.
class QuotaLoad {
 public:
  explicit QuotaLoad(const QuotaRun& run) {
    double sum = 0;
    for (std::size_t w = 0; w < run.workspaces; ++w) {
      weights_.push_back(1.0 / static_cast<double>(w + 1));
      sum += weights_.back();
    }
    for (double& weight : weights_) {
      weight /= sum;
      rates_.push_back(std::max(
          kLeastRate, run.headroom * weight * run.requests_per_s * kMeanUnits));
    }
  }

  /// @param surge demand of the first workspace, as a multiple
  QuotaRequest Next(Random& random, double surge) const {
    QuotaRequest request;
    request.workspace = ChooseWorkspace(random, surge);
    request.units = random.Unit() < kPlainPart ? kPlainUnits : Tokens(random);
    return request;
  }

  /// Size from which on a request is among the largest tenth.
  double largest_from() const { return kLargestFrom; }
  /// Factor of the whole rate of requests.
  double RateFactor(double surge) const {
    return 1 + weights_[0] * (surge - 1);
  }
  double RateOf(std::size_t workspace) const { return rates_[workspace]; }
  std::size_t workspaces() const { return rates_.size(); }
  static std::string NameOf(std::size_t workspace) {
    return "w" + std::to_string(workspace);
  }

 private:
  static constexpr double kLeastRate = 2700;
  static constexpr double kPlainPart = 0.25;
  static constexpr double kPlainUnits = 200;
  // Sizes are log-normal: median, spread of the logarithm, limit.
  static constexpr double kMedianTokens = 1000;
  static constexpr double kSpread = 0.8;
  static constexpr double kMaxTokens = 5300;
  // Mean and largest tenth of all requests, as drawn.
  static constexpr double kMeanUnits = 1030;
  static constexpr double kLargestFrom = 2550;

  std::size_t ChooseWorkspace(Random& random, double surge) const {
    double at = random.Unit() * RateFactor(surge);
    for (std::size_t w = 0; w < weights_.size(); ++w) {
      at -= weights_[w] * (w == 0 ? surge : 1);
      if (at < 0) {
        return w;
      }
    }
    return weights_.size() - 1;
  }

  static double Tokens(Random& random) {
    constexpr double kTwoPi = 6.283185307179586;
    const double u = 1 - random.Unit();
    const double normal =
        std::sqrt(-2 * std::log(u)) * std::cos(kTwoPi * random.Unit());
    return std::min(kMaxTokens,
                    std::floor(kMedianTokens * std::exp(kSpread * normal)));
  }

  /// Part of the requests of each workspace.
  std::vector<double> weights_;
  std::vector<double> rates_;
};

}  // namespace jackdaw
