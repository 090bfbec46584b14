#include "fleet/model_plan.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// A copy is added where a model's demand for each copy exceeds the mean demand
// of a target by this factor.
constexpr double kCrowded = 0.75;
// A copy gives way only to one that bears more demand by this factor.
constexpr double kWorthMoving = 2.0;
// Demand, in tokens per second, below which a model counts as not asked for.
constexpr double kIdleTokens = 30;

struct Counts {
  std::map<std::string, int> copies;
  double mean = 0;
};

double TokensOf(const ModelLoads& loads, const std::string& model) {
  const auto found = loads.find(model);
  return found == loads.end() ? 0 : found->second.tokens;
}

Counts CountCopies(const std::vector<EngineView>& engines,
                   const ModelLoads& loads) {
  Counts counts;
  for (const EngineView& engine : engines) {
    for (const std::string& model : engine.models) {
      ++counts.copies[model];
    }
  }
  double total = 0;
  for (const auto& [model, demand] : loads) {
    total += demand.tokens;
  }
  counts.mean =
      engines.empty() ? 0 : total / static_cast<double>(engines.size());
  return counts;
}

double WeightsOf(const EngineOffer& offer, const std::string& model) {
  for (const ModelOffer& item : offer.models) {
    if (item.name == model) {
      return item.weights_mb;
    }
  }
  return 0;
}

// Memory for the adapters that a target may hold at once.
double AdapterReserve(const EngineOffer& offer) {
  double largest = 0;
  for (const ModelOffer& model : offer.models) {
    largest = std::max(largest, model.adapters > 0 ? model.adapter_mb : 0);
  }
  return largest * offer.adapter_slots;
}

// Demand that a target bears, each model's shared evenly by its copies.
double BorneBy(const EngineView& engine,
               const ModelLoads& loads,
               const Counts& counts) {
  double borne = 0;
  for (const std::string& model : engine.models) {
    const auto copies = counts.copies.find(model);
    const int shared = copies == counts.copies.end() ? 1 : copies->second;
    borne += TokensOf(loads, model) / std::max(1, shared);
  }
  return borne;
}

// Models that give way on a target so that `model` fits.
// @returns nothing where it cannot fit
std::optional<std::vector<std::string>> MakeRoom(const EngineOffer& offer,
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
    // The last copy of a model that may be asked for is dear.
    return shared > 1 ? tokens / shared : tokens * 4 + kIdleTokens;
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

}  // namespace

bool EngineView::Holds(const std::string& model) const {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool EngineView::IsNear(const std::string& model) const {
  return std::find(near_models.begin(), near_models.end(), model) !=
         near_models.end();
}

std::optional<ModelMove> PlanMove(const EngineOffer& offer,
                                  const std::vector<EngineView>& engines,
                                  const ModelLoads& loads,
                                  int loads_free) {
  const Counts counts = CountCopies(engines, loads);
  struct Wish {
    std::string model;
    double gain = 0;
    bool unmet = false;
  };
  std::vector<Wish> wishes;
  for (const ModelOffer& model : offer.models) {
    const double tokens = TokensOf(loads, model.name);
    const auto found = counts.copies.find(model.name);
    const int copies = found == counts.copies.end() ? 0 : found->second;
    if (copies == 0 && tokens > 0) {
      wishes.push_back({model.name, tokens * 100 + 1e5, true});
    } else if (copies > 0 && tokens / copies > kCrowded * counts.mean &&
               tokens > kIdleTokens) {
      wishes.push_back({model.name, tokens / copies / (copies + 1), false});
    } else if (copies == 0) {
      wishes.push_back({model.name, kIdleTokens, true});
    }
  }
  std::sort(wishes.begin(), wishes.end(),
            [](const Wish& a, const Wish& b) { return a.gain > b.gain; });
  for (const Wish& wish : wishes) {
    std::optional<ModelMove> best;
    double best_cost = 0;
    for (const EngineView& engine : engines) {
      const bool near = engine.IsNear(wish.model);
      if (engine.busy || engine.Holds(wish.model) ||
          (!near && loads_free <= 0)) {
        continue;
      }
      auto room = MakeRoom(offer, engine, loads, counts, wish.model, wish.gain,
                           wish.unmet);
      if (!room) {
        continue;
      }
      const double cost = BorneBy(engine, loads, counts) +
                          1000.0 * static_cast<double>(room->size()) +
                          (near ? 0 : 500);
      if (!best || cost < best_cost) {
        best_cost = cost;
        best = ModelMove{engine.id, wish.model, std::move(*room), !near};
      }
    }
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

}  // namespace jackdaw::serving
