#include "fleet/model_plan.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// A copy is added where all targets that hold a model bear more than the
// target that would get it by this factor.
constexpr double kCrowded = 1.6;
// Demand, in tokens per second, that a target bears without queues.
constexpr double kLightTokens = 8000;
// A copy gives way only to one that bears more demand by this factor.
constexpr double kWorthMoving = 2.0;
// Demand, in tokens per second, below which a model counts as not asked for.
constexpr double kIdleTokens = 30;
// Demand, in tokens per second, that a copy beside others stands for at least.
constexpr double kCopyTokens = 300;
// Rounds in which demand is shifted between the targets that share a model.
constexpr int kBalanceRounds = 12;

struct Counts {
  std::map<std::string, int> copies;
  /// Demand that each target bears when its models' demand is spread over all
  /// that hold them as evenly as they allow.
  std::vector<double> borne;
};

double TokensOf(const ModelLoads& loads, const std::string& model) {
  const auto found = loads.find(model);
  return found == loads.end() ? 0 : found->second.tokens;
}

// Spreads each model's demand over its holders, less to those that bear more.
std::vector<double> Spread(const std::vector<EngineView>& engines,
                           const ModelLoads& loads) {
  std::map<std::string, std::vector<std::size_t>> holders;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    for (const std::string& model : engines[i].models) {
      holders[model].push_back(i);
    }
  }
  std::vector<double> borne(engines.size(), 0);
  std::map<std::string, std::vector<double>> parts;
  for (const auto& [model, at] : holders) {
    parts[model].assign(at.size(), 1.0 / static_cast<double>(at.size()));
  }
  for (int round = 0; round < kBalanceRounds; ++round) {
    std::fill(borne.begin(), borne.end(), 0);
    for (const auto& [model, at] : holders) {
      for (std::size_t i = 0; i < at.size(); ++i) {
        borne[at[i]] += TokensOf(loads, model) * parts[model][i];
      }
    }
    for (const auto& [model, at] : holders) {
      std::vector<double>& part = parts[model];
      double sum = 0;
      for (std::size_t i = 0; i < at.size(); ++i) {
        part[i] /= std::sqrt(1 + borne[at[i]]);
        sum += part[i];
      }
      for (double& value : part) {
        value /= sum;
      }
    }
  }
  return borne;
}

Counts CountCopies(const std::vector<EngineView>& engines,
                   const ModelLoads& loads) {
  Counts counts;
  for (const EngineView& engine : engines) {
    for (const std::string& model : engine.models) {
      ++counts.copies[model];
    }
  }
  counts.borne = Spread(engines, loads);
  return counts;
}

double WeightsOf(const EngineSpec& offer, const std::string& model) {
  for (const ModelSpec& item : offer.models) {
    if (item.name == model) {
      return item.weights_mb;
    }
  }
  return 0;
}

// Memory for the adapters that a target may hold at once.
double AdapterReserve(const EngineSpec& offer) {
  double largest = 0;
  for (const ModelSpec& model : offer.models) {
    largest = std::max(largest, model.adapters > 0 ? model.adapter_mb : 0);
  }
  return largest * offer.adapter_slots;
}

// Models that give way on a target so that `model` fits.
// @returns nothing where it cannot fit
std::optional<std::vector<std::string>> MakeRoom(const EngineSpec& offer,
                                                 const EngineView& engine,
                                                 const ModelLoads& loads,
                                                 const Counts& counts,
                                                 const std::string& model,
                                                 double gain,
                                                 bool unmet) {
  double room = offer.weights_mb - AdapterReserve(offer);
  for (const std::string& held : engine.models) {
    room -= WeightsOf(offer, held);
  }
  std::vector<std::string> held = engine.models;
  const auto loss = [&](const std::string& name) {
    const auto copies = counts.copies.find(name);
    const int shared = copies == counts.copies.end() ? 1 : copies->second;
    const double tokens = TokensOf(loads, name);
    // Several copies of a model tell that it was busy before; the last copy of
    // one that may be asked for is dear.
    return shared > 1 ? std::max(tokens / shared, kCopyTokens)
                      : tokens * 4 + kIdleTokens;
  };
  std::sort(held.begin(), held.end(),
            [&](const std::string& a, const std::string& b) {
              return loss(a) < loss(b);
            });
  std::vector<std::string> given_up;
  const double needed = WeightsOf(offer, model);
  double lost = 0;
  for (const std::string& name : held) {
    if (room >= needed) {
      break;
    }
    const auto copies = counts.copies.find(name);
    const bool last = copies == counts.copies.end() || copies->second <= 1;
    if (last && (TokensOf(loads, name) > kIdleTokens || !unmet)) {
      continue;
    }
    lost += loss(name);
    room += WeightsOf(offer, name);
    given_up.push_back(name);
  }
  if (room < needed || lost * kWorthMoving > gain) {
    return std::nullopt;
  }
  return given_up;
}

// A model that is to have one copy more.
struct Wish {
  std::string model;
  double gain = 0;
  /// Least demand that any target which holds the model bears.
  double pressure = 0;
  /// No target holds it.
  bool unmet = false;
};

// What is wished for, the most urgent first.
std::vector<Wish> WishesFor(const EngineSpec& offer,
                            const std::vector<EngineView>& engines,
                            const ModelLoads& loads,
                            const Counts& counts) {
  std::vector<Wish> wishes;
  for (const ModelSpec& model : offer.models) {
    const double tokens = TokensOf(loads, model.name);
    const auto found = counts.copies.find(model.name);
    const int copies = found == counts.copies.end() ? 0 : found->second;
    if (copies == 0) {
      // A model that nobody asks for only fills free room.
      const double gain = tokens > 0 ? tokens * 100 + 1e5 : 1;
      wishes.push_back({model.name, gain, 0, true});
      continue;
    }
    double pressure = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      if (engines[i].Holds(model.name)) {
        pressure = pressure == 0 ? counts.borne[i]
                                 : std::min(pressure, counts.borne[i]);
      }
    }
    if (pressure > kLightTokens && tokens > kIdleTokens) {
      const double gain = std::min(pressure, tokens / copies);
      wishes.push_back({model.name, gain, pressure, false});
    }
  }
  std::sort(wishes.begin(), wishes.end(),
            [](const Wish& a, const Wish& b) { return a.gain > b.gain; });
  return wishes;
}

}  // namespace

bool EngineView::Holds(const std::string& model) const {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool EngineView::IsNear(const std::string& model) const {
  return std::find(near_models.begin(), near_models.end(), model) !=
         near_models.end();
}

std::optional<ModelMove> PlanMove(const EngineSpec& offer,
                                  const std::vector<EngineView>& engines,
                                  const ModelLoads& loads,
                                  int loads_free) {
  const Counts counts = CountCopies(engines, loads);
  for (const Wish& wish : WishesFor(offer, engines, loads, counts)) {
    std::optional<ModelMove> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      const EngineView& engine = engines[i];
      const bool near = engine.IsNear(wish.model);
      if (engine.busy || engine.Holds(wish.model) ||
          (!near && loads_free <= 0)) {
        continue;
      }
      if (!wish.unmet && counts.borne[i] * kCrowded > wish.pressure) {
        continue;
      }
      auto room = MakeRoom(offer, engine, loads, counts, wish.model, wish.gain,
                           wish.unmet);
      if (!room) {
        continue;
      }
      const double cost = counts.borne[i] +
                          1000.0 * static_cast<double>(room->size()) +
                          (near ? 0 : 500);
      if (!best || cost < best_cost) {
        best_cost = cost;
        best = ModelMove{engine.id, wish.model, std::move(*room), !near,
                         wish.unmet};
      }
    }
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

}  // namespace jackdaw::serving
