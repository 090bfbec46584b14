#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

#include "replay/command.h"
#include "replay/placement_run.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

struct NamedPolicy {
  std::string_view name;
  PlacementPolicy policy;
};

constexpr std::array kPolicies{
    NamedPolicy{"static", PlacementPolicy::kStatic},
    NamedPolicy{"least-used", PlacementPolicy::kLeastUsed},
    NamedPolicy{"greedy", PlacementPolicy::kGreedy},
    NamedPolicy{"planner", PlacementPolicy::kPlanner},
    NamedPolicy{"oracle", PlacementPolicy::kOracle},
};

double Rounded(double value) {
  return std::round(value * 10'000) / 10'000;
}

json::object ToJson(std::string_view policy, const PlacementFigures& figures) {
  return {
      {"policy", policy},
      {"attainment", Rounded(figures.attainment)},
      {"attainment_per_accelerator",
       Rounded(figures.attainment_per_accelerator)},
      {"worst_workspace_attainment",
       Rounded(figures.worst_workspace_attainment)},
      {"moves", figures.moves},
      {"unreachable", figures.unreachable},
      {"longest_without_copy_s", figures.longest_without_copy_s},
  };
}

}  // namespace

// The figures go to standard output; planning time, which differs from
// machine to machine, goes to standard error.
int PlacementCommand(std::span<const std::string> arguments) {
  cxxopts::Options options("jackdaw-replay placement",
                           "Compares ways to place models.");
  options.add_options()(
      "deployment", "ponte-nordeste, lantern-permits or design",
      cxxopts::value<std::string>()->default_value("ponte-nordeste"))(
      "policy", "static, least-used, greedy, planner, oracle or all",
      cxxopts::value<std::string>()->default_value("all"))(
      "seed", "Seed of the demand",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "lose-domain", "Lose a failure domain for ten minutes");
  std::vector<const char*> words{"placement"};
  for (const auto& word : arguments) {
    words.push_back(word.c_str());
  }
  try {
    const auto parsed =
        options.parse(static_cast<int>(words.size()), words.data());
    const auto shape =
        FindPlacementShape(parsed["deployment"].as<std::string>());
    const auto wanted = parsed["policy"].as<std::string>();
    json::array results;
    for (const auto& [name, policy] : kPolicies) {
      if (!shape || (wanted != "all" && wanted != name)) {
        continue;
      }
      PlacementRun run(*shape, policy, parsed["seed"].as<std::uint64_t>(),
                       parsed.count("lose-domain") != 0);
      const PlacementFigures figures = run.Run();
      results.push_back(ToJson(name, figures));
      std::cerr << name << ": " << figures.plan_us << " us for a plan, "
                << figures.plan_us / (shape->round_seconds * 1e4)
                << "% of a core for each node\n";
    }
    if (results.empty()) {
      std::cerr << "jackdaw-replay placement: unknown deployment or policy\n"
                << options.help();
      return 2;
    }
    std::cout << json::serialize(results) << "\n";
    return 0;
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "jackdaw-replay placement: " << failure.what() << "\n";
    return 2;
  }
}

}  // namespace jackdaw
