#include <iostream>
#include <string>

#include "replay/command.h"
#include "replay/crash_experiment.h"
#include "replay/fairness_experiment.h"
#include "replay/retry_experiment.h"
#include "replay/routing_experiment.h"
#include "routing/expected_time.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

struct RoutingOptions {
  std::string policy = "all";
  std::string case_name = "ponte";
  std::uint64_t seed = 1;
  /// Time between two reports in milliseconds, 0 for that of the case.
  std::int64_t poll_ms = 0;
};

// Weighs all candidates however many instances there are.
ExpectedTimeCosts FullChoice() {
  ExpectedTimeCosts costs;
  costs.full_scan_instances = 1'000'000;
  return costs;
}

template <RoutePolicy Policy>
json::object Measure(const RoutingCase& shape,
                     const RoutingOptions& options,
                     std::string_view name,
                     const Policy& policy) {
  RoutingExperiment<Policy> experiment(shape, options.seed, policy);
  json::object figures = ToJson(shape, experiment.Run());
  figures["policy"] = name;
  return figures;
}

json::array MeasurePolicies(const RoutingCase& shape,
                            const RoutingOptions& options) {
  json::array rows;
  const auto add = [&](std::string_view name, const auto& policy) {
    if (options.policy == "all" || options.policy == name) {
      rows.push_back(Measure(shape, options, name, policy));
    }
  };
  add("round-robin", RoundRobin());
  add("least-outstanding", LeastOutstanding());
  add("least-reported", LeastReported());
  add("two-choices", TwoChoices());
  add("expected-full-choice", ExpectedTime(FullChoice()));
  add("expected-time", ExpectedTime());
  return rows;
}

bool ReadOptions(std::span<const std::string> arguments,
                 RoutingOptions& options) {
  for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
    const std::string& value = arguments[i + 1];
    if (arguments[i] == "--policy") {
      options.policy = value;
    } else if (arguments[i] == "--case") {
      options.case_name = value;
    } else if (arguments[i] == "--poll-ms") {
      options.poll_ms = std::strtoll(value.c_str(), nullptr, 10);
    } else if (arguments[i] == "--seed") {
      options.seed = std::strtoull(value.c_str(), nullptr, 10);
    } else {
      return false;
    }
  }
  return arguments.size() % 2 == 0;
}

}  // namespace

int RoutingCommand(std::span<const std::string> arguments) {
  RoutingOptions options;
  const bool read = ReadOptions(arguments, options);
  json::object result{{"seed", options.seed}};
  if (read && options.case_name == "retries") {
    result["retries"] = MeasureRetries(options.seed);
  } else if (read && options.case_name == "crashes") {
    result["crashes"] = MeasureCrashes(options.seed);
  } else if (read && options.case_name == "fairness") {
    result["fairness"] = MeasureFairness(options.seed);
  } else if (const RoutingCase* shape = FindRoutingCase(options.case_name);
             read && shape != nullptr) {
    RoutingCase measured = *shape;
    if (options.poll_ms > 0) {
      measured.poll = std::chrono::milliseconds(options.poll_ms);
    }
    result["policies"] = MeasurePolicies(measured, options);
  } else {
    std::cerr << "usage: jackdaw-replay routing [--policy NAME] [--case "
                 "ponte|lantern|large|retries|fairness|crashes] [--seed N] "
                 "[--poll-ms N]\n";
    return 2;
  }
  std::cout << json::serialize(result) << "\n";
  return 0;
}

}  // namespace jackdaw
