#include "replay/budgets/workload.h"

#include <cmath>

namespace jackdaw {
namespace {

// Part of its rate that a workspace uses.
constexpr double kUse = 0.7;
// Seconds of its rate that make up a workspace's burst.
constexpr std::int64_t kBurstSeconds = 4;
constexpr std::int64_t kLeastPrompt = 64;
constexpr std::int64_t kPromptSpread = 336;
constexpr std::int64_t kMostOutput = 256;
constexpr Micros kLeastService = 1s;
constexpr std::int64_t kServiceSpreadUs = 3'000'000;
// Prompt and output tokens that a request uses on average.
constexpr double kMeanUse = 64.0 + 168.0 + 128.0;
// Each workspace has this part of the load of the one before it.
constexpr double kNextWeight = 0.6;

}  // namespace

BudgetLoad::BudgetLoad(const BudgetRun& run, const BudgetCase& shape)
    : requests_per_s_(run.requests_per_s), surge_(shape.surge) {
  double sum = 0;
  double weight = 1;
  for (std::int64_t i = 0; i < run.workspaces; ++i) {
    weights_.push_back(weight);
    sum += weight;
    weight *= kNextWeight;
  }
  for (double& part : weights_) {
    part /= sum;
    rates_.push_back(
        static_cast<std::int64_t>(part * requests_per_s_ * kMeanUse / kUse));
  }
}

std::int64_t BudgetLoad::BurstOf(std::size_t workspace) const {
  return rates_[workspace] * kBurstSeconds;
}

double BudgetLoad::SurgeOf(std::size_t workspace, bool in_fault) const {
  return workspace == 0 && in_fault ? surge_ : 1;
}

Micros BudgetLoad::NextGap(Random& random, bool in_fault) const {
  const double all =
      requests_per_s_ * (1 + weights_[0] * (SurgeOf(0, in_fault) - 1));
  const double gap = -std::log(1 - random.Unit()) / all;
  return Micros(static_cast<std::int64_t>(gap * 1e6));
}

LoadRequest BudgetLoad::Next(Random& random, bool in_fault) const {
  double point = random.Unit() * (1 + weights_[0] * (SurgeOf(0, in_fault) - 1));
  LoadRequest request;
  for (std::size_t i = 0; i < weights_.size(); ++i) {
    request.workspace = i;
    point -= weights_[i] * SurgeOf(i, in_fault);
    if (point < 0) {
      break;
    }
  }
  const auto below = [&](std::int64_t bound) {
    return static_cast<std::int64_t>(
        random.Below(static_cast<std::uint64_t>(bound)));
  };
  request.charge = kLeastPrompt + below(kPromptSpread) + kMostOutput;
  request.unused = below(kMostOutput);
  request.service = kLeastService + Micros(below(kServiceSpreadUs));
  return request;
}

}  // namespace jackdaw
