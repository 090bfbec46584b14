#include "replay/placement_run.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "core/invariant.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr int kWorkspaces = 5;
constexpr double kAcceleratorTokens = 2000;
// Mean demand as a part of the capacity of all engines.
constexpr double kMeanUse = 0.8;
// Memory of one accelerator that models may use, beside KV and adapters.
constexpr std::int64_t kModelRoomMb = 60'000;
constexpr std::array<std::int64_t, 5> kModelMb{8'000, 14'000, 16'000, 28'000,
                                               40'000};
constexpr int kLoadSeconds = 5;
constexpr int kUnloadSeconds = 1;
// How far the oracle looks ahead.
constexpr int kForesightSeconds = 60;
constexpr int kPeakForesightSeconds = 600;
constexpr int kDomainLossSeconds = 600;
// Most targets that the first placement looks at together.
constexpr std::size_t kPlacedAtOnce = 64;

std::size_t At(int index) {
  return static_cast<std::size_t>(index);
}

Instant MomentOf(int second) {
  return kStart + std::chrono::seconds(second);
}

PlannerOptions ShapeOf(PlacementPolicy policy) {
  PlannerOptions shape;
  if (policy == PlacementPolicy::kStatic ||
      policy == PlacementPolicy::kLeastUsed) {
    shape.min_gain = 1e9;
  } else if (policy == PlacementPolicy::kGreedy) {
    shape = {1.0, 0.0, 1.0, false};
  }
  return shape;
}

}  // namespace

PlacementRun::PlacementRun(const PlacementShape& shape,
                           PlacementPolicy policy,
                           std::uint64_t seed,
                           bool lose_domain)
    : shape_(shape),
      policy_(policy),
      lose_domain_(lose_domain),
      random_(seed),
      trace_(seed,
             shape.models,
             shape.seconds,
             kMeanUse * kAcceleratorTokens * shape.accelerators_per_engine *
                 shape.engines),
      planner_(ShapeOf(policy)) {
  BuildFleet();
  PlaceAtStart();
}

void PlacementRun::BuildFleet() {
  for (int t = 0; t < shape_.engines; ++t) {
    PlanTarget target;
    target.name = "e" + std::to_string(t);
    target.domain = t % shape_.domains;
    target.capacity = kAcceleratorTokens * shape_.accelerators_per_engine;
    target.free_mb = kModelRoomMb * shape_.accelerators_per_engine;
    fleet_.targets.push_back(std::move(target));
  }
  room_mb_.assign(At(shape_.engines),
                  kModelRoomMb * shape_.accelerators_per_engine);
  workspace_share_.resize(kWorkspaces);
  for (int m = 0; m < shape_.models; ++m) {
    PlanModel model;
    model.name = "m" + std::to_string(m);
    model.targets.reserve(At(shape_.engines));
    model.memory_mb = kModelMb[random_.Below(kModelMb.size())] *
                      shape_.accelerators_per_engine;
    for (int t = 0; t < shape_.engines; ++t) {
      model.targets.push_back(t);
    }
    fleet_.models.push_back(std::move(model));
    double sum = 0;
    std::array<double, kWorkspaces> shares{};
    for (double& share : shares) {
      share = random_.Unit() * random_.Unit();
      sum += share;
    }
    for (std::size_t w = 0; w < kWorkspaces; ++w) {
      workspace_share_[w].push_back(shares[w] / sum);
    }
  }
  without_copy_.assign(At(shape_.models), 0);
  workspace_asked_.assign(kWorkspaces, 0);
  workspace_served_.assign(kWorkspaces, 0);
}

// Every policy starts from the same placement, made for the mean demand.
void PlacementRun::PlaceAtStart() {
  std::vector<int> all;
  all.reserve(At(shape_.engines));
  for (int t = 0; t < shape_.engines; ++t) {
    all.push_back(t);
  }
  for (int m = 0; m < shape_.models; ++m) {
    fleet_.models[At(m)].demand = trace_.Mean(m, 0, shape_.seconds);
    fleet_.models[At(m)].peak = fleet_.models[At(m)].demand;
  }
  const Planner start{PlannerOptions{0.5, 0.0, 1e6, true}};
  // Large fleets are placed a few targets at a time.
  const std::size_t step = all.size() > kPlacedAtOnce ? 2 : all.size();
  for (bool placed = true; placed;) {
    placed = false;
    for (std::size_t from = 0; from < all.size(); from += step) {
      const auto own =
          std::span(all).subspan(from, std::min(step, all.size() - from));
      for (const PlacementAction& move : start.Plan(fleet_, own, 1)) {
        CheckInvariant(move.load, "the first placement evicts nothing");
        PlanTarget& target = fleet_.targets[At(move.target)];
        target.ready.push_back(move.model);
        target.free_mb -= fleet_.models[At(move.model)].memory_mb;
        placed = true;
      }
    }
  }
}

int PlacementRun::LoadSeconds(const PlanModel& /*model*/) const {
  return kLoadSeconds;
}

// Planners see a noisy estimate; the oracle sees what will be asked.
void PlacementRun::SeeDemand(int second) {
  for (int m = 0; m < shape_.models; ++m) {
    PlanModel& model = fleet_.models[At(m)];
    if (policy_ == PlacementPolicy::kOracle) {
      model.demand = trace_.Most(m, second, kForesightSeconds);
      model.peak = trace_.Most(m, second, kPeakForesightSeconds);
      continue;
    }
    const double noise = 0.9 + 0.2 * random_.Unit();
    estimate_.OnRate(MomentOf(second), model.name,
                     trace_.At(m, std::max(0, second - 2)) * noise);
    const auto value = estimate_.EstimateFor(model.name);
    model.demand = value.demand;
    model.peak = value.peak;
  }
}

void PlacementRun::LoseDomain(int second) {
  const int from = shape_.seconds / 2;
  if (!lose_domain_ ||
      (second != from && second != from + kDomainLossSeconds)) {
    return;
  }
  for (std::size_t t = 0; t < fleet_.targets.size(); ++t) {
    PlanTarget& target = fleet_.targets[t];
    if (target.domain != 0) {
      continue;
    }
    target.usable = second != from;
    target.ready.clear();
    target.incoming.clear();
    target.free_mb = room_mb_[t];
    const int lost = static_cast<int>(t);
    std::erase_if(loads_, [&](const Load& l) { return l.target == lost; });
    std::erase_if(unloads_, [&](const Unload& u) { return u.target == lost; });
  }
}

// Marks what evicts the least used model wherever demand is not met.
void PlacementRun::LeastUsedMoves(const std::vector<int>& own,
                                  std::vector<PlacementAction>& moves) {
  const DemandSplit split = SplitDemand(fleet_, 1.0, true);
  const auto copies = CopiesOf(fleet_, false);
  const auto worst = std::max_element(split.unmet.begin(), split.unmet.end());
  const int model = static_cast<int>(worst - split.unmet.begin());
  if (*worst <= 0) {
    return;
  }
  for (const int t : own) {
    const PlanTarget& target = fleet_.targets[At(t)];
    const auto has = [&](const std::vector<int>& list) {
      return std::find(list.begin(), list.end(), model) != list.end();
    };
    if (!target.usable || has(target.ready) || has(target.incoming)) {
      continue;
    }
    std::vector<int> held = target.ready;
    std::sort(held.begin(), held.end(), [&](int a, int b) {
      return fleet_.models[At(a)].demand < fleet_.models[At(b)].demand;
    });
    std::int64_t needed = fleet_.models[At(model)].memory_mb - target.free_mb;
    std::vector<PlacementAction> chosen;
    for (const int other : held) {
      if (needed > 0 && copies[At(other)].size() > 1) {
        needed -= fleet_.models[At(other)].memory_mb;
        chosen.push_back({false, other, t, PlacementReason::kMakeRoom, 0});
      }
    }
    if (needed <= 0) {
      moves.insert(moves.end(), chosen.begin(), chosen.end());
      moves.push_back({true, model, t, PlacementReason::kUnmetDemand, *worst});
      return;
    }
  }
}

std::vector<PlacementAction> PlacementRun::Ask(const std::vector<int>& own) {
  const auto start = std::chrono::steady_clock::now();
  auto moves = planner_.Plan(fleet_, own, 2);
  if (policy_ == PlacementPolicy::kLeastUsed && moves.empty()) {
    LeastUsedMoves(own, moves);
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
  plan_us_ += spent.count();
  ++plans_;
  return moves;
}

void PlacementRun::PlanRound(int second) {
  const int nodes = policy_ == PlacementPolicy::kOracle ? 1 : shape_.nodes;
  const int round = second / shape_.round_seconds;
  for (int i = 0; i < nodes; ++i) {
    const int node = (i + round) % nodes;
    std::vector<int> own;
    own.reserve(fleet_.targets.size() / At(nodes) + 1);
    for (int t = node; t < shape_.engines; t += nodes) {
      own.push_back(t);
    }
    const auto moves = Ask(own);
    for (const PlacementAction& move : moves) {
      Take(move, second);
    }
  }
}

// An unload gives its memory back after a while; a load takes it at once.
void PlacementRun::Take(const PlacementAction& move, int second) {
  PlanTarget& target = fleet_.targets[At(move.target)];
  const PlanModel& model = fleet_.models[At(move.model)];
  if (!move.load) {
    CheckInvariant(CopiesOf(fleet_, false)[At(move.model)].size() > 1,
                   "a model's last copy is never unloaded");
    std::erase(target.ready, move.model);
    target.free_mb += model.memory_mb;
    unloads_.push_back({move.model, move.target, second + kUnloadSeconds});
    return;
  }
  target.free_mb -= model.memory_mb;
  CheckInvariant(target.free_mb >= 0, "a target is never overcommitted");
  target.incoming.push_back(move.model);
  loads_.push_back({move.model, move.target, 0});
  ++figures_.moves;
}

void PlacementRun::Advance(int second) {
  const Instant now = MomentOf(second);
  std::erase_if(unloads_,
                [&](const Unload& unload) { return unload.done_at <= second; });
  const auto copies = CopiesOf(fleet_, false);
  std::vector<Load> rest;
  for (Load& load : loads_) {
    PlanTarget& target = fleet_.targets[At(load.target)];
    const std::string& name = fleet_.models[At(load.model)].name;
    const bool unloading = std::any_of(
        unloads_.begin(), unloads_.end(),
        [&](const Unload& unload) { return unload.target == load.target; });
    LoadTicket ticket{target.name, name};
    ticket.priority = copies[At(load.model)].empty()
                          ? LoadPriority::kNoCopyCallersWait
                          : LoadPriority::kExtraCopy;
    if (!unloading &&
        queue_.Ask(now, ticket, shape_.store_slots, shape_.store_loads_per_s) &&
        load.done_at == 0) {
      load.done_at = second + LoadSeconds(fleet_.models[At(load.model)]);
    }
    if (load.done_at != 0 && load.done_at <= second) {
      queue_.Remove(target.name, name);
      std::erase(target.incoming, load.model);
      target.ready.push_back(load.model);
    } else {
      rest.push_back(load);
    }
  }
  loads_ = std::move(rest);
}

void PlacementRun::Count(int second) {
  PlannerInput real = fleet_;
  for (int m = 0; m < shape_.models; ++m) {
    real.models[At(m)].demand = trace_.At(m, second);
  }
  const DemandSplit split = SplitDemand(real, 1.0, false);
  const auto copies = CopiesOf(real, false);
  const auto on_way = CopiesOf(real, true);
  for (int m = 0; m < shape_.models; ++m) {
    const double asked = real.models[At(m)].demand;
    const double served = asked - split.unmet[At(m)];
    asked_ += asked;
    served_ += served;
    for (std::size_t w = 0; w < kWorkspaces; ++w) {
      workspace_asked_[w] += asked * workspace_share_[w][At(m)];
      workspace_served_[w] += served * workspace_share_[w][At(m)];
    }
    int& without = without_copy_[At(m)];
    without = copies[At(m)].empty() ? without + 1 : 0;
    figures_.longest_without_copy_s =
        std::max(figures_.longest_without_copy_s, without);
    if (on_way[At(m)].empty()) {
      const bool room = std::any_of(
          real.targets.begin(), real.targets.end(),
          [&](const PlanTarget& target) {
            std::int64_t free = target.free_mb;
            for (const int held : target.ready) {
              free += copies[At(held)].size() > 1
                          ? real.models[At(held)].memory_mb
                          : 0;
            }
            return target.usable && free >= real.models[At(m)].memory_mb;
          });
      figures_.unreachable += room ? 0 : 1;
    }
  }
}

PlacementFigures PlacementRun::Run() {
  for (int second = 0; second < shape_.seconds; ++second) {
    LoseDomain(second);
    SeeDemand(second);
    Advance(second);
    if (second % shape_.round_seconds == 0) {
      PlanRound(second);
    }
    Count(second);
  }
  figures_.attainment = served_ / asked_;
  figures_.attainment_per_accelerator =
      served_ / shape_.seconds /
      (shape_.engines * shape_.accelerators_per_engine);
  figures_.worst_workspace_attainment = 1;
  for (std::size_t w = 0; w < kWorkspaces; ++w) {
    figures_.worst_workspace_attainment =
        std::min(figures_.worst_workspace_attainment,
                 workspace_served_[w] / workspace_asked_[w]);
  }
  figures_.plan_us = plan_us_ / std::max(1, plans_);
  return figures_;
}

}  // namespace jackdaw
