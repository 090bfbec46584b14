#include "replay/fairness_experiment.h"

#include <array>
#include <cmath>
#include <queue>
#include <string>
#include <vector>

#include "core/random.h"
#include "fairness/fair_queue.h"
#include "fairness/usage_priority.h"
#include "replay/batching_engine.h"
#include "replay/routing_figures.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kTime = 60s;
constexpr std::size_t kEngines = 4;
// Requests that the entry lets into one engine at once.
constexpr std::int64_t kEngineLimit = 24;
// Prompt tokens without a first token yet at which an engine gets no more.
constexpr std::int64_t kPromptLimit = 1'600;
// Requests a second of each workspace at its rate.
constexpr std::array<double, kRoutingWorkspaces> kRates{8, 6, 4, 2, 2};
constexpr std::int64_t kShortPrompt = 400;
constexpr std::int64_t kLongPrompt = 6'000;
constexpr std::int64_t kMeanOutput = 120;
constexpr double kSurge = 5;

enum class Mode : std::uint8_t { kNone, kPriorities, kQueue };
enum class Trouble : std::uint8_t { kSurge, kLongPrompts };

struct Item {
  Instant arrival{};
  std::uint32_t workspace = 0;
  EngineWork work;
  Instant first{};
};

std::string NameOf(std::uint32_t workspace) {
  return "w" + std::to_string(workspace);
}

std::int64_t CostOf(const EngineWork& work) {
  return work.prompt_tokens + work.output_tokens;
}

double TokenRate(std::uint32_t workspace) {
  return kRates.at(workspace) * (kShortPrompt + kMeanOutput);
}

// Requests of all workspaces, or of one alone; the first one is in trouble.
std::vector<Item> Draw(Trouble trouble, int only, std::uint64_t seed) {
  std::vector<Item> items;
  for (std::uint32_t w = 0; w < kRoutingWorkspaces; ++w) {
    Random random(seed * 100 + w);
    const bool surges = w == 0 && trouble == Trouble::kSurge;
    const bool lengthy = w == 0 && trouble == Trouble::kLongPrompts;
    const double rate = kRates.at(w) * (surges ? kSurge : 1.0);
    Instant at = kStart;
    while (only < 0 || only == static_cast<int>(w)) {
      at += Micros(static_cast<std::int64_t>(-std::log(1.0 - random.Unit()) *
                                             1e6 / rate));
      if (at >= kStart + kTime) {
        break;
      }
      Item item;
      item.arrival = at;
      item.workspace = w;
      item.work.prompt_tokens = lengthy ? kLongPrompt : kShortPrompt;
      item.work.output_tokens =
          4 + static_cast<std::int64_t>(-std::log(1.0 - random.Unit()) *
                                        kMeanOutput);
      items.push_back(std::move(item));
    }
  }
  std::sort(items.begin(), items.end(),
            [](const Item& a, const Item& b) { return a.arrival < b.arrival; });
  for (std::uint32_t i = 0; i < items.size(); ++i) {
    items[i].work.request = i;
  }
  return items;
}

// One entry before a few engines, under a virtual clock.
class FairnessRun {
 public:
  FairnessRun(Mode mode, std::vector<Item> items)
      : mode_(mode), items_(std::move(items)) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines_.emplace_back(BatchingShape{});
    }
    for (std::uint32_t w = 0; w < kRoutingWorkspaces; ++w) {
      queue_.SetWeight(NameOf(w), static_cast<std::int64_t>(TokenRate(w)));
    }
  }

  RoutingFigures Run() {
    std::size_t next = 0;
    while (next < items_.size() || !steps_.empty()) {
      const bool arrives =
          next < items_.size() &&
          (steps_.empty() || items_[next].arrival <= steps_.top().first);
      if (arrives) {
        Arrive(static_cast<std::uint32_t>(next++));
      } else {
        const auto [at, engine] = steps_.top();
        steps_.pop();
        Step(at, engine);
      }
    }
    return std::move(figures_);
  }

 private:
  static constexpr std::int64_t kFull = 1000;

  using Due = std::pair<Instant, std::size_t>;

  void Arrive(std::uint32_t index) {
    Item& item = items_[index];
    ++figures_.asked.at(item.workspace);
    if (mode_ != Mode::kNone) {
      item.work.priority = usage_.OnRequest(
          item.arrival, NameOf(item.workspace), CostOf(item.work),
          static_cast<std::int64_t>(TokenRate(item.workspace)));
    }
    queue_.Push(NameOf(item.workspace), CostOf(item.work), index);
    Release(item.arrival);
  }

  // Without the queue at the entry the engines take all at once.
  void Release(Instant now) {
    while (queue_.size() > 0) {
      std::size_t best = 0;
      for (std::size_t i = 1; i < kEngines; ++i) {
        best = LoadOf(i) < LoadOf(best) ? i : best;
      }
      if (mode_ == Mode::kQueue && LoadOf(best) >= kFull) {
        return;
      }
      const EngineWork& work = items_[*queue_.Pop()].work;
      prompts_.at(best) += work.prompt_tokens;
      engines_[best].Add(work);
      if (!busy_.at(best)) {
        busy_.at(best) = true;
        steps_.emplace(now, best);
      }
    }
  }

  // Load of an engine in thousandths of what the entry lets into it.
  std::int64_t LoadOf(std::size_t engine) const {
    const std::int64_t requests =
        engines_[engine].running() + engines_[engine].waiting();
    return std::max(requests * kFull / kEngineLimit,
                    prompts_.at(engine) * kFull / kPromptLimit);
  }

  void Step(Instant now, std::size_t engine) {
    progress_.clear();
    const Micros time = engines_[engine].Step(progress_);
    busy_.at(engine) = time.count() > 0;
    if (!busy_.at(engine)) {
      return;
    }
    const Instant end = now + time;
    for (const auto& done : progress_) {
      Item& item = items_[done.request];
      if (done.kind == EngineProgress::Kind::kFirstToken) {
        item.first = end;
        prompts_.at(engine) -= item.work.prompt_tokens;
        continue;
      }
      const std::int64_t gaps =
          std::max<std::int64_t>(1, done.output_tokens - 1);
      figures_.Add(item.workspace, (item.first - item.arrival).count(),
                   (end - item.first).count() / gaps);
    }
    steps_.emplace(end, engine);
    Release(end);
  }

  Mode mode_;
  std::vector<Item> items_;
  std::vector<BatchingEngine> engines_;
  std::array<bool, kEngines> busy_{};
  std::array<std::int64_t, kEngines> prompts_{};
  std::priority_queue<Due, std::vector<Due>, std::greater<>> steps_;
  std::vector<EngineProgress> progress_;
  FairQueue<std::uint32_t> queue_;
  UsagePriority usage_;
  RoutingFigures figures_;
};

// Attainment of the worst-served of the others, as a part of what each has
// alone.
boost::json::object Measure(std::string_view trouble_name,
                            Trouble trouble,
                            std::string_view mode_name,
                            Mode mode,
                            std::uint64_t seed) {
  const RoutingFigures all = FairnessRun(mode, Draw(trouble, -1, seed)).Run();
  double worst = 1;
  double worst_of_alone = 1;
  for (std::uint32_t w = 1; w < kRoutingWorkspaces; ++w) {
    const RoutingFigures alone =
        FairnessRun(mode, Draw(trouble, static_cast<int>(w), seed)).Run();
    worst = std::min(worst, all.AttainedBy(w));
    worst_of_alone =
        std::min(worst_of_alone, all.AttainedBy(w) / alone.AttainedBy(w));
  }
  return {{"trouble", trouble_name},
          {"mode", mode_name},
          {"worst_workspace_attainment", worst},
          {"worst_part_of_alone", worst_of_alone},
          {"attainment_of_troublesome", all.AttainedBy(0)}};
}

}  // namespace

boost::json::array MeasureFairness(std::uint64_t seed) {
  boost::json::array rows;
  const auto add = [&](std::string_view name, Mode mode) {
    rows.push_back(Measure("surge", Trouble::kSurge, name, mode, seed));
    rows.push_back(
        Measure("long-prompts", Trouble::kLongPrompts, name, mode, seed));
  };
  add("none", Mode::kNone);
  add("priorities", Mode::kPriorities);
  add("queue-and-priorities", Mode::kQueue);
  return rows;
}

}  // namespace jackdaw
