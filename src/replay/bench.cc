#include "replay/bench.h"

#include <memory>
#include <string>
#include <variant>

#include "core/clock.h"
#include "core/random.h"
#include "core/signature.h"
#include "decisions/admission.h"
#include "routing/router.h"

namespace jackdaw {
namespace {

constexpr std::uint64_t kSeed = 20'240'501;
constexpr int kRequests = 200'000;
constexpr int kTargets = 16;
constexpr int kModels = 20;
constexpr int kWorkspaces = 5;
constexpr Instant kStart{Micros(1'700'000'000'000'000)};

FleetConfigPtr BenchConfig() {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  Deployment deployment{"bench", {}, {}};
  for (int i = 0; i < kTargets; ++i) {
    const std::string name = "t" + std::to_string(i);
    config->targets.push_back(
        {name, "127.0.0.1:1", "z", TargetKind::kEngine, 80'000, 1, true});
    deployment.targets.push_back(name);
  }
  for (int i = 0; i < kModels; ++i) {
    deployment.models.push_back("m" + std::to_string(i));
    config->models.push_back({deployment.models.back(), 4000, 1});
  }
  config->deployments.push_back(std::move(deployment));
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string name = "w" + std::to_string(i);
    config->workspaces.push_back({name});
    config->keys.push_back({"k" + name, name, "digest" + name, false});
  }
  return config;
}

TargetReport BenchReport(Random& random) {
  TargetReport report;
  report.running = static_cast<std::int64_t>(random.Below(20));
  for (int i = 0; i < kModels; ++i) {
    if (random.OneIn(2)) {
      report.models.push_back("m" + std::to_string(i));
    }
  }
  return report;
}

}  // namespace

BenchResult RunBench() {
  VirtualClock clock(kStart);
  Random random(kSeed);
  Signature signature;
  BenchResult result;
  const FleetConfigPtr config = BenchConfig();
  Router router;
  router.OnConfig(clock.Now(), *config);
  Admission<EqualSplit> admission{EqualSplit(8)};
  admission.OnConfig(clock.Now(), config);
  for (int i = 0; i < kRequests; ++i) {
    clock.Advance(Micros(static_cast<std::int64_t>(random.Below(2000))));
    if (i % 500 == 0) {
      for (const auto& target : config->targets) {
        router.OnReport(clock.Now(), target.name, BenchReport(random));
      }
    }
    RequestInfo info;
    info.key_digest = "digestw" + std::to_string(random.Below(kWorkspaces));
    info.model = "m" + std::to_string(random.Below(kModels));
    info.prompt_tokens = static_cast<std::int64_t>(random.Below(400));
    info.max_output_tokens = static_cast<std::int64_t>(1 + random.Below(200));
    const AdmitResult admitted = admission.Admit(clock.Now(), info);
    ++result.decisions;
    if (const auto* refused = std::get_if<Refused>(&admitted)) {
      signature.Add(static_cast<std::uint64_t>(refused->refusal.kind));
      continue;
    }
    TargetRequirements need;
    need.model = info.model;
    need.prompt_tokens = info.prompt_tokens;
    const auto target = router.Pick(clock.Now(), need);
    ++result.decisions;
    if (target) {
      signature.Add(target->name);
      router.OnDispatched(clock.Now(), target->name, need);
      router.OnFinished(random.OneIn(2) ? target->name : "t0");
    }
  }
  result.signature = signature.Short();
  return result;
}

}  // namespace jackdaw
