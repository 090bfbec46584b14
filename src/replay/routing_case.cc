#include "replay/routing_case.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
// Prompts with a shared beginning, of 100.
constexpr std::uint64_t kSharedPercent = 70;
constexpr std::uint64_t kPrefixesPerModel = 6;
constexpr std::size_t kSharedBlocks = 4;
constexpr std::uint64_t kLeastTail = 50;
constexpr std::uint64_t kTailSpread = 400;
// The load swings by this part of its mean, once in the swing time.
constexpr double kSwing = 0.35;
constexpr double kSwingSeconds = 20;

constexpr BatchingShape kSmall{};
constexpr BatchingShape kLarge{64, 4'000, 60, 40, 512, 192, 16};

constexpr std::array kCases{
    RoutingCase{"ponte", 12, 3, 6, 20, 60, 12, 5, 125, 120, 60s, 300ms, kSmall},
    RoutingCase{"lantern", 18, 4, 8, 25, 95, 18, 5, 190, 120, 60s, 300ms,
                kSmall},
    RoutingCase{"large", 640, 6, 370, 200, 800, 5100, 4, 8900, 236, 20s, 300ms,
                kLarge},
};

// Demand of a model, falling with its number.
double WeightOf(std::uint32_t model) {
  return 1.0 / std::pow(static_cast<double>(model) + 2.0, 0.8);
}

double WeightOfAll(std::uint32_t models) {
  double sum = 0;
  for (std::uint32_t i = 0; i < models; ++i) {
    sum += WeightOf(i);
  }
  return sum;
}

std::uint32_t DrawModel(std::uint32_t models, double sum, Random& random) {
  double left = random.Unit() * sum;
  for (std::uint32_t i = 0; i + 1 < models; ++i) {
    left -= WeightOf(i);
    if (left < 0) {
      return i;
    }
  }
  return models - 1;
}

std::uint32_t DrawWorkspace(Random& random) {
  constexpr std::array<std::uint64_t, kRoutingWorkspaces> kUpTo{45, 75, 88, 95,
                                                                100};
  const std::uint64_t drawn = random.Below(100);
  std::uint32_t workspace = 0;
  while (drawn >= kUpTo.at(workspace)) {
    ++workspace;
  }
  return workspace;
}

EngineWork DrawWork(const RoutingCase& shape,
                    std::uint32_t model,
                    Random& random) {
  EngineWork work;
  work.prompt_tokens =
      static_cast<std::int64_t>(kLeastTail + random.Below(kTailSpread));
  if (random.Below(100) < kSharedPercent) {
    const std::uint64_t prefix =
        model * kPrefixesPerModel + random.Below(kPrefixesPerModel);
    work.prefixes.count = kSharedBlocks;
    for (std::size_t i = 0; i < kSharedBlocks; ++i) {
      work.prefixes.digests.at(i) = Random(prefix * 64 + i + 1).Next();
    }
    work.prompt_tokens +=
        static_cast<std::int64_t>(kSharedBlocks) * kPrefixBlockTokens;
  }
  const auto mean = static_cast<double>(shape.mean_output_tokens);
  work.output_tokens = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(-mean * std::log(1.0 - random.Unit())), 4,
      shape.mean_output_tokens * 6);
  return work;
}

}  // namespace

const RoutingCase* FindRoutingCase(std::string_view name) {
  const auto found =
      std::find_if(kCases.begin(), kCases.end(),
                   [&](const RoutingCase& row) { return row.name == name; });
  return found == kCases.end() ? nullptr : &*found;
}

std::vector<RoutingRequest> DrawRequests(const RoutingCase& shape,
                                         Random& random) {
  std::vector<RoutingRequest> requests;
  const double sum = WeightOfAll(shape.models);
  const std::uint32_t per_model = shape.adapters / shape.models;
  Instant now = kStart;
  while (now < kStart + shape.time) {
    const double seconds = static_cast<double>((now - kStart).count()) / 1e6;
    const double rate =
        shape.requests_per_s *
        (1 + kSwing * std::sin(6.2831853 * seconds / kSwingSeconds));
    now += Micros(
        static_cast<std::int64_t>(-std::log(1.0 - random.Unit()) * 1e6 / rate));
    RoutingRequest request;
    request.arrival = now;
    request.instance =
        static_cast<std::uint32_t>(random.Below(shape.instances));
    request.workspace = DrawWorkspace(random);
    request.model = DrawModel(shape.models, sum, random);
    request.work = DrawWork(shape, request.model, random);
    request.work.request = static_cast<std::uint32_t>(requests.size());
    if (random.OneIn(2)) {
      request.work.adapter =
          1 + request.model * per_model +
          static_cast<std::uint32_t>(random.Below(per_model));
      request.adapter = "a" + std::to_string(request.work.adapter);
    }
    requests.push_back(std::move(request));
  }
  return requests;
}

FleetConfig PlaceModels(const RoutingCase& shape) {
  FleetConfig config;
  config.version = 1;
  std::vector<double> load(shape.engines, 0);
  for (std::uint32_t i = 0; i < shape.engines; ++i) {
    config.targets.push_back({"t" + std::to_string(i), "127.0.0.1:1",
                              "z" + std::to_string(i % shape.domains),
                              TargetKind::kEngine, 80'000, 1, true});
  }
  const double sum = WeightOfAll(shape.models);
  const double slots = shape.engines * shape.models_per_engine;
  for (std::uint32_t m = 0; m < shape.models; ++m) {
    const std::string name = "m" + std::to_string(m);
    const double share = WeightOf(m) / sum;
    const auto copies = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(share * slots), 2, shape.engines);
    Deployment deployment{name, {name}, {}};
    std::vector<bool> has(shape.engines, false);
    for (std::int64_t copy = 0; copy < copies; ++copy) {
      std::uint32_t best = shape.engines;
      for (std::uint32_t e = 0; e < shape.engines; ++e) {
        if (!has[e] && (best == shape.engines || load[e] < load[best])) {
          best = e;
        }
      }
      has[best] = true;
      load[best] += share / static_cast<double>(copies);
      deployment.targets.push_back("t" + std::to_string(best));
    }
    config.models.push_back({name, 4000, 1});
    config.deployments.push_back(std::move(deployment));
  }
  return config;
}

}  // namespace jackdaw
