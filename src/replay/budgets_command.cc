#include <algorithm>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "replay/budgets/budget_sim.h"
#include "replay/command.h"

namespace jackdaw {
namespace {

constexpr std::array kWays{BudgetWay::kEscrow, BudgetWay::kEqualSplit,
                           BudgetWay::kShortLeases, BudgetWay::kAskOwner};

boost::json::object ToJson(const BudgetFigures& figures,
                           std::string_view name,
                           BudgetWay way) {
  const double per_node =
      figures.seconds * static_cast<double>(figures.instances);
  const auto rate = [&](std::int64_t count, double over) {
    return static_cast<double>(static_cast<std::int64_t>(
               static_cast<double>(count) / over * 100)) /
           100;
  };
  const auto requests =
      static_cast<double>(std::max<std::int64_t>(1, figures.requests));
  return {{"case", name},
          {"way", Name(way)},
          {"instances", figures.instances},
          {"requests", figures.requests},
          {"refused_total", figures.refused_total},
          {"wrongful_refusals", figures.wrongful_refusals},
          {"wrongful_percent",
           100.0 * static_cast<double>(figures.wrongful_refusals) / requests},
          {"requests_at_start", figures.requests_at_start},
          {"wrongful_at_start", figures.wrongful_at_start},
          {"waited", figures.waited},
          {"overspend_tokens", figures.overspend_tokens},
          {"invariant_violations", figures.invariant_violations},
          {"largest_sum_units", figures.largest_sum},
          {"peer_messages_per_node_s", rate(figures.peer_messages, per_node)},
          {"peer_bytes_per_node_s", rate(figures.peer_bytes, per_node)},
          {"table_bytes_per_node_s", rate(figures.table_bytes, per_node)},
          {"busiest_bytes_per_s", rate(figures.busiest_bytes, figures.seconds)},
          {"table_reads_per_s", rate(figures.table_reads, figures.seconds)},
          {"table_writes_per_s", rate(figures.table_writes, figures.seconds)}};
}

}  // namespace

// Each case runs each way, printed as one JSON object a line.
int BudgetsCommand(std::span<const std::string> arguments) {
  cxxopts::Options options("jackdaw-replay budgets",
                           "ways to hold budgets, compared under faults");
  auto add = options.add_options();
  add("seed", "seed of the run", cxxopts::value<std::uint64_t>());
  add("instances", "number of instances", cxxopts::value<std::int64_t>());
  add("requests", "requests a second", cxxopts::value<double>());
  add("fault-s", "seconds of the fault", cxxopts::value<std::int64_t>());
  add("case", "only this case", cxxopts::value<std::string>());
  add("way", "only this way", cxxopts::value<std::string>());
  std::vector<const char*> words{"budgets"};
  for (const auto& argument : arguments) {
    words.push_back(argument.c_str());
  }
  try {
    const auto given =
        options.parse(static_cast<int>(words.size()), words.data());
    BudgetRun run;
    run.seed = given.count("seed") ? given["seed"].as<std::uint64_t>() : 1;
    run.instances =
        given.count("instances") ? given["instances"].as<std::int64_t>() : 8;
    run.requests_per_s =
        given.count("requests") ? given["requests"].as<double>() : 200;
    run.fault = std::chrono::seconds(
        given.count("fault-s") ? given["fault-s"].as<std::int64_t>() : 600);
    for (const auto& shape : BudgetCases()) {
      if (given.count("case") &&
          given["case"].as<std::string>() != shape.name) {
        continue;
      }
      for (const BudgetWay way : kWays) {
        if (given.count("way") && given["way"].as<std::string>() != Name(way)) {
          continue;
        }
        std::cout << boost::json::serialize(
                         ToJson(RunBudgets(run, shape, way), shape.name, way))
                  << std::endl;
      }
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << failure.what() << "\n" << options.help();
    return 2;
  }
  return 0;
}

}  // namespace jackdaw
