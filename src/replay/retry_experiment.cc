#include "replay/retry_experiment.h"

#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "retry/retry_budget.h"
#include "retry/retry_rule.h"
#include "routing/router.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr int kTargets = 12;
constexpr int kRequests = 60'000;
constexpr Micros kGap = 1ms;
constexpr int kManyAttempts = 10;

// How the bound on retries is set.
enum class Bound : std::uint8_t { kNone, kThreeAttempts, kBudget };

struct Outcome {
  std::int64_t attempts = 0;
  std::int64_t failed = 0;
};

FleetConfig Config() {
  FleetConfig config;
  Deployment deployment{"d", {"m"}, {}};
  for (int i = 0; i < kTargets; ++i) {
    deployment.targets.push_back("t" + std::to_string(i));
    config.targets.push_back({deployment.targets.back(), "127.0.0.1:1", "z",
                              TargetKind::kEngine, 80'000, 1, true});
  }
  config.workspaces.push_back({"w"});
  config.deployments.push_back(std::move(deployment));
  return config;
}

// One request: attempts at targets of which the even ones fail. The targets
// still report, as when a fault lies behind their front.
void Serve(Instant now,
           Bound bound,
           BasicRouter<TwoChoices>& router,
           RetryBudget& budget,
           Outcome& outcome) {
  std::vector<std::string> tried;
  const int most = bound == Bound::kNone ? kManyAttempts : kMaxAttempts;
  for (int attempt = 0; attempt < most; ++attempt) {
    TargetRequirements need;
    need.model = "m";
    if (bound != Bound::kNone) {
      need.excluded = tried;
    }
    const auto target = router.Pick(now, need);
    if (!target || (attempt > 0 && bound == Bound::kBudget &&
                    !budget.TryRetry(now, "w", target->name))) {
      break;
    }
    if (attempt == 0) {
      budget.OnFirstAttempt(now, "w", target->name);
    }
    ++outcome.attempts;
    if (std::stoi(target->name.substr(1)) % 2 == 1) {
      return;
    }
    tried.push_back(target->name);
  }
  ++outcome.failed;
}

boost::json::object Measure(std::string_view name,
                            Bound bound,
                            std::uint64_t seed) {
  RouterOptions setup;
  setup.seed = seed;
  BasicRouter<TwoChoices> router(setup);
  const FleetConfig config = Config();
  router.OnConfig(kStart, config);
  TargetReport report;
  report.models = {"m"};
  for (const auto& target : config.targets) {
    router.OnReport(kStart, target.name, report);
  }
  RetryBudget budget;
  Outcome outcome;
  for (int i = 0; i < kRequests; ++i) {
    Serve(kStart + i * kGap, bound, router, budget, outcome);
  }
  return {{"bound", name},
          {"amplification", static_cast<double>(outcome.attempts) / kRequests},
          {"failed_part", static_cast<double>(outcome.failed) / kRequests}};
}

}  // namespace

boost::json::array MeasureRetries(std::uint64_t seed) {
  boost::json::array rows;
  rows.push_back(Measure("unlimited", Bound::kNone, seed));
  rows.push_back(Measure("three-attempts", Bound::kThreeAttempts, seed));
  rows.push_back(Measure("budget", Bound::kBudget, seed));
  return rows;
}

}  // namespace jackdaw
