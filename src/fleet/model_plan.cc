#include "fleet/model_plan.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// A copy is added to a target only if each holder of the model bears at least
// this many times the demand of that target.
constexpr double kMinDemandRatio = 1.6;
// Demand, in tokens per second, that a target serves without queues.
constexpr double kLightTokensPerS = 8000;
// Copies are unloaded only if the new copy gains at least this many times the
// demand that they lose.
constexpr double kMinGainRatio = 2.0;
// Demand, in tokens per second, up to which a model counts as not requested.
constexpr double kIdleTokensPerS = 30;
// Least cost, in tokens per second, of unloading a copy while other copies of
// the model remain.
constexpr double kMinCopyTokensPerS = 300;
// Least speed that counts. Lower ones come from few samples.
constexpr double kMinSpeed = 0.3;
// Number of iterations that balance the demand between the holders of a model.
constexpr int kBalanceRounds = 12;

/// Copies and demand of the current placement.
struct CopyStats {
  /// Number of targets that hold each model.
  std::map<std::string, int> copies;
  /// Demand on each target divided by its speed, in tokens per second, if the
  /// demand for each model is spread over its holders so that the load of the
  /// targets is as even as possible.
  std::vector<double> target_tokens;
};

double TokensOf(const DemandByModel& demand, const std::string& model) {
  const auto found = demand.find(model);
  return found == demand.end() ? 0 : found->second.tokens;
}

// Spreads the demand for each model over its holders; holders with more demand
// for their speed get a smaller part. Returns the demand on each target divided
// by its speed, so that targets can be compared.
std::vector<double> SpreadDemand(const std::vector<EngineView>& engines,
                                 const DemandByModel& demand) {
  std::map<std::string, std::vector<std::size_t>> holders;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    for (const std::string& model : engines[i].models) {
      holders[model].push_back(i);
    }
  }
  std::vector<double> target_tokens(engines.size(), 0);
  std::map<std::string, std::vector<double>> parts;
  for (const auto& [model, at] : holders) {
    parts[model].assign(at.size(), 1.0 / static_cast<double>(at.size()));
  }
  for (int round = 0; round < kBalanceRounds; ++round) {
    std::fill(target_tokens.begin(), target_tokens.end(), 0);
    for (const auto& [model, at] : holders) {
      for (std::size_t i = 0; i < at.size(); ++i) {
        target_tokens[at[i]] += TokensOf(demand, model) * parts[model][i] /
                                std::max(kMinSpeed, engines[at[i]].speed);
      }
    }
    for (const auto& [model, at] : holders) {
      std::vector<double>& part = parts[model];
      double sum = 0;
      for (std::size_t i = 0; i < at.size(); ++i) {
        part[i] /= std::sqrt(1 + target_tokens[at[i]]);
        sum += part[i];
      }
      for (double& value : part) {
        value /= sum;
      }
    }
  }
  return target_tokens;
}

CopyStats ComputeCopyStats(const std::vector<EngineView>& engines,
                           const DemandByModel& demand) {
  CopyStats stats;
  for (const EngineView& engine : engines) {
    for (const std::string& model : engine.models) {
      ++stats.copies[model];
    }
  }
  stats.target_tokens = SpreadDemand(engines, demand);
  return stats;
}

double WeightsOf(const EngineSpec& offer, const std::string& model) {
  for (const ModelSpec& item : offer.models) {
    if (item.name == model) {
      return item.weights_mb;
    }
  }
  return 0;
}

// Returns the memory, in MB, that is reserved for the adapters of a target.
double AdapterReserve(const EngineSpec& offer) {
  double largest = 0;
  for (const ModelSpec& model : offer.models) {
    largest = std::max(largest, model.adapters > 0 ? model.adapter_mb : 0);
  }
  return largest * offer.adapter_slots;
}

// Chooses the models to be unloaded from a target so that `model` fits.
// @param gain value of the new copy, in tokens per second
// @param is_first_copy no target holds `model`
// @returns nothing if the model cannot fit or the loss is too large for the
// gain
std::optional<std::vector<std::string>> ModelsToUnload(
    const EngineSpec& offer,
    const EngineView& engine,
    const DemandByModel& demand,
    const CopyStats& stats,
    const std::string& model,
    double gain,
    bool is_first_copy) {
  double room = offer.weights_mb - AdapterReserve(offer);
  for (const std::string& held : engine.models) {
    room -= WeightsOf(offer, held);
  }
  std::vector<std::string> held = engine.models;
  const auto loss = [&](const std::string& name) {
    const auto copies = stats.copies.find(name);
    const int shared = copies == stats.copies.end() ? 1 : copies->second;
    const double tokens = TokensOf(demand, name);
    // The cost of unloading a copy. Several copies show that the model was in
    // demand before, so one of them costs its part of the demand, but never
    // less than a minimum. The last copy of a model that may be requested again
    // costs four times its demand.
    return shared > 1 ? std::max(tokens / shared, kMinCopyTokensPerS)
                      : tokens * 4 + kIdleTokensPerS;
  };
  std::sort(held.begin(), held.end(),
            [&](const std::string& a, const std::string& b) {
              return loss(a) < loss(b);
            });
  std::vector<std::string> to_unload;
  const double needed = WeightsOf(offer, model);
  double loss_sum = 0;
  for (const std::string& name : held) {
    if (room >= needed) {
      break;
    }
    const auto copies = stats.copies.find(name);
    const bool last = copies == stats.copies.end() || copies->second <= 1;
    if (last && (TokensOf(demand, name) > kIdleTokensPerS || !is_first_copy)) {
      continue;
    }
    loss_sum += loss(name);
    room += WeightsOf(offer, name);
    to_unload.push_back(name);
  }
  if (room < needed || loss_sum * kMinGainRatio > gain) {
    return std::nullopt;
  }
  return to_unload;
}

// A model that could get one more copy.
struct CopyCandidate {
  std::string model;
  /// Value of the copy, in tokens per second.
  double gain = 0;
  /// Least demand on any target that holds the model, in tokens per second.
  double min_holder_tokens = 0;
  /// No target holds it.
  bool is_first_copy = false;
};

// Returns the models that could get a copy, the one with the largest gain
// first.
std::vector<CopyCandidate> CopyCandidates(
    const EngineSpec& offer,
    const std::vector<EngineView>& engines,
    const DemandByModel& demand,
    const CopyStats& stats) {
  std::vector<CopyCandidate> candidates;
  for (const ModelSpec& model : offer.models) {
    const double tokens = TokensOf(demand, model.name);
    const auto found = stats.copies.find(model.name);
    const int copies = found == stats.copies.end() ? 0 : found->second;
    if (copies == 0) {
      // A requested model ranks before additional copies of other models. A
      // model without demand only uses free memory: with a gain of 1 it never
      // causes another one to be unloaded.
      const double gain = tokens > 0 ? tokens * 100 + 1e5 : 1;
      candidates.push_back({model.name, gain, 0, true});
      continue;
    }
    double min_holder_tokens = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      if (engines[i].Holds(model.name)) {
        min_holder_tokens =
            min_holder_tokens == 0
                ? stats.target_tokens[i]
                : std::min(min_holder_tokens, stats.target_tokens[i]);
      }
    }
    if (min_holder_tokens > kLightTokensPerS && tokens > kIdleTokensPerS) {
      const double gain = std::min(min_holder_tokens, tokens / copies);
      candidates.push_back({model.name, gain, min_holder_tokens, false});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const CopyCandidate& a, const CopyCandidate& b) {
              return a.gain > b.gain;
            });
  return candidates;
}

}  // namespace

bool EngineView::Holds(const std::string& model) const {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool EngineView::IsNear(const std::string& model) const {
  return std::find(near_models.begin(), near_models.end(), model) !=
         near_models.end();
}

std::optional<PlacementMove> PlanMove(const EngineSpec& offer,
                                      const std::vector<EngineView>& engines,
                                      const DemandByModel& demand,
                                      int available_loads) {
  const CopyStats stats = ComputeCopyStats(engines, demand);
  for (const CopyCandidate& candidate :
       CopyCandidates(offer, engines, demand, stats)) {
    std::optional<PlacementMove> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      const EngineView& engine = engines[i];
      const bool near = engine.IsNear(candidate.model);
      if (engine.busy || engine.Holds(candidate.model) ||
          (!near && available_loads <= 0)) {
        continue;
      }
      if (!candidate.is_first_copy && stats.target_tokens[i] * kMinDemandRatio >
                                          candidate.min_holder_tokens) {
        continue;
      }
      auto room = ModelsToUnload(offer, engine, demand, stats, candidate.model,
                                 candidate.gain, candidate.is_first_copy);
      if (!room) {
        continue;
      }
      // The unit is tokens per second: demand on the target plus penalties for
      // unloading and for the use of the weight store.
      const double cost = stats.target_tokens[i] +
                          1000.0 * static_cast<double>(room->size()) +
                          (near ? 0 : 500);
      if (!best || cost < best_cost) {
        best_cost = cost;
        best = PlacementMove{engine.id, candidate.model, std::move(*room),
                             !near, candidate.is_first_copy};
      }
    }
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

}  // namespace jackdaw::serving
