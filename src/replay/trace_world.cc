#include "replay/trace_world.h"

#include <algorithm>

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kFirstTokenTarget = 970ms;
constexpr Micros kBetweenTokensTarget = 58ms;
// Rate of the largest workspace and of each other one, in tokens a second.
constexpr std::int64_t kLargeRate = 8000;
constexpr std::int64_t kSmallRate = 2500;
// Seconds of its rate that a workspace may send at once.
constexpr std::int64_t kBurstSeconds = 4;
// Engines that hold each model.
constexpr std::int64_t kCopies = 3;

FleetConfig MakeConfig(const TraceShape& shape) {
  FleetConfig config;
  config.version = 1;
  Deployment deployment{std::string(shape.deployment), {}, {}};
  for (std::int64_t i = 0; i < shape.engines; ++i) {
    Target target;
    target.name = "engine-" + std::to_string(i);
    target.address = "127.0.0.1:1";
    target.failure_domain = "domain-" + std::to_string(i % shape.domains);
    target.memory_mb = 80'000;
    deployment.targets.push_back(target.name);
    config.targets.push_back(std::move(target));
  }
  for (std::int64_t i = 0; i < shape.models; ++i) {
    deployment.models.push_back("model-" + std::to_string(i));
    config.models.push_back({deployment.models.back(), 16'000, 1});
  }
  config.deployments.push_back(std::move(deployment));
  for (std::int64_t i = 0; i < shape.workspaces; ++i) {
    const std::string name = "workspace-" + std::to_string(i);
    const std::int64_t rate = i == 0 ? kLargeRate : kSmallRate;
    config.workspaces.push_back({name});
    config.keys.push_back({name, name, TraceKey(name), false});
    for (const auto& [setting, value] :
         {std::pair<std::string, std::int64_t>{"rate_tokens_per_s", rate},
          {"burst_tokens", rate * kBurstSeconds}}) {
      config.exceptions.push_back(
          {"workspace/" + name, setting, value, "trace", 0});
    }
  }
  return config;
}

// Spreads copies of each model over engines of different failure domains.
std::vector<std::string> ModelsOf(const TraceShape& shape,
                                  std::int64_t engine) {
  std::vector<std::string> models;
  for (std::int64_t model = 0; model < shape.models; ++model) {
    for (std::int64_t copy = 0; copy < kCopies; ++copy) {
      if ((model * kCopies + copy) % shape.engines == engine) {
        models.push_back("model-" + std::to_string(model));
      }
    }
  }
  return models;
}

}  // namespace

std::string TraceKey(std::string_view workspace) {
  return "digest-" + std::string(workspace);
}

TraceWorld::TraceWorld(const TraceShape& shape) : clock_(kStart) {
  FleetConfig config = MakeConfig(shape);
  for (const auto& workspace : config.workspaces) {
    const std::string scope = "workspace/" + workspace.name;
    auditor_.SetLimit(kStart, workspace.name,
                      SettingFor(config, "rate_tokens_per_s", scope, 0),
                      SettingFor(config, "burst_tokens", scope, 0));
  }
  for (std::int64_t i = 0; i < shape.engines; ++i) {
    engines_.emplace("engine-" + std::to_string(i),
                     FakeEngine(ModelsOf(shape, i)));
  }
  config_ = std::make_shared<const FleetConfig>(std::move(config));
}

void TraceWorld::At(Instant when, Action action) {
  CheckInvariant(when >= now(), "nothing is scheduled in the past");
  queue_.push({when, next_order_++, std::move(action)});
}

void TraceWorld::RunUntil(Instant end) {
  while (!queue_.empty() && queue_.top().when <= end) {
    const Scheduled next = queue_.top();
    queue_.pop();
    clock_.Advance(next.when - now());
    next.action();
  }
}

void TraceWorld::WithdrawKey(std::string_view workspace) {
  FleetConfig config = *config_;
  ++config.version;
  for (auto& key : config.keys) {
    key.withdrawn = key.withdrawn || key.workspace == workspace;
  }
  config_ = std::make_shared<const FleetConfig>(std::move(config));
}

void TraceWorld::CountRequest(const std::string& workspace) {
  ++figures_.requests;
  ++workspaces_[workspace].requests;
}

void TraceWorld::CountServed(const std::string& workspace,
                             Micros first_token,
                             Micros between_tokens) {
  ++figures_.served;
  figures_.time_to_first_token.Add(first_token.count());
  figures_.time_between_tokens.Add(between_tokens.count());
  if (first_token <= kFirstTokenTarget &&
      between_tokens <= kBetweenTokensTarget) {
    ++workspaces_[workspace].attained;
  }
}

Figures TraceWorld::Finish(double seconds) {
  figures_.worst_workspace_attainment = 1.0;
  std::uint64_t attained = 0;
  for (const auto& [name, counts] : workspaces_) {
    attained += counts.attained;
    figures_.worst_workspace_attainment =
        std::min(figures_.worst_workspace_attainment,
                 static_cast<double>(counts.attained) /
                     static_cast<double>(counts.requests));
  }
  figures_.attainment_per_accelerator = static_cast<double>(attained) /
                                        seconds /
                                        static_cast<double>(engines_.size());
  return figures_;
}

}  // namespace jackdaw
