#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

#include "replay/command.h"
#include "replay/quotas/quota_case.h"

namespace jackdaw {
namespace {

constexpr std::array kWays{QuotaWay::kEqualParts, QuotaWay::kHeldParts,
                           QuotaWay::kHeldPartsAhead};

double Rounded(double value) {
  return std::round(value * 1000) / 1000;
}

double Percent(std::int64_t part, std::int64_t whole) {
  return Rounded(100.0 * static_cast<double>(part) /
                 static_cast<double>(std::max<std::int64_t>(1, whole)));
}

boost::json::object ToJson(const QuotaRun& run,
                           const QuotaFigures& figures,
                           std::string_view name,
                           QuotaWay way) {
  return {{"case", name},
          {"way", Name(way)},
          {"instances", run.instances},
          {"requests", figures.requests},
          {"refused_total", figures.refused},
          {"wrongful_percent", Percent(figures.wrongful, figures.requests)},
          {"largest_tenth_wrongful_percent",
           Percent(figures.largest_wrongful, figures.largest)},
          {"units_over", Rounded(std::max(0.0, figures.units_over))},
          {"double_held", figures.double_held},
          {"messages_per_instance_s", Rounded(figures.messages_per_s)},
          {"busiest_messages_per_s", Rounded(figures.busiest_messages_per_s)},
          {"busiest_bytes_per_s", Rounded(figures.busiest_bytes_per_s)},
          {"wait_us_p50", figures.wait_p50.count()},
          {"wait_us_p99", figures.wait_p99.count()}};
}

}  // namespace

// Each case runs each way, printed as one JSON object a line.
int QuotasCommand(std::span<const std::string> arguments) {
  cxxopts::Options options("jackdaw-replay quotas",
                           "ways to hold quotas, compared at any size");
  auto add = options.add_options();
  add("seed", "seed of the run", cxxopts::value<std::uint64_t>());
  add("instances", "number of instances", cxxopts::value<std::size_t>());
  add("requests", "requests a second", cxxopts::value<double>());
  add("headroom", "quotas as a multiple of the demand",
      cxxopts::value<double>());
  add("case", "only this case", cxxopts::value<std::string>());
  add("way", "only this way", cxxopts::value<std::string>());
  std::vector<const char*> words{"quotas"};
  for (const auto& argument : arguments) {
    words.push_back(argument.c_str());
  }
  try {
    const auto given =
        options.parse(static_cast<int>(words.size()), words.data());
    QuotaRun run;
    run.seed = given.count("seed") ? given["seed"].as<std::uint64_t>() : 1;
    run.instances =
        given.count("instances") ? given["instances"].as<std::size_t>() : 8;
    run.requests_per_s =
        given.count("requests") ? given["requests"].as<double>() : 100;
    run.headroom =
        given.count("headroom") ? given["headroom"].as<double>() : 1.8;
    for (const auto& shape : QuotaCases()) {
      if (given.count("case") &&
          given["case"].as<std::string>() != shape.name) {
        continue;
      }
      for (const QuotaWay way : kWays) {
        if (given.count("way") && given["way"].as<std::string>() != Name(way)) {
          continue;
        }
        std::cout << boost::json::serialize(ToJson(
                         run, RunQuotas(run, shape, way), shape.name, way))
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
