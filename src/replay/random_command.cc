#include <algorithm>
#include <iostream>

#include "replay/command.h"
#include "replay/history.h"
#include "replay/options.h"

namespace jackdaw {
namespace {

void PrintBreach(const HistoryKind& kind,
                 std::uint64_t seed,
                 const HistoryReport& report) {
  std::cout << kind.name << " seed " << seed << ": " << report.breach
            << "\nshortest run: jackdaw-replay random --kind " << kind.name
            << " --seed " << seed << " --steps " << report.steps + 1 << "\n";
  for (const auto& step : report.tail) {
    std::cout << "  " << step << "\n";
  }
}

// Each mutant must be caught, or the invariants prove nothing.
int RunMutants(const HistoryKind& kind,
               std::uint64_t seed,
               std::uint64_t seeds,
               std::uint64_t steps) {
  int missed = 0;
  for (const auto mutant : kind.mutants) {
    std::string caught;
    for (std::uint64_t i = 0; caught.empty() && i < seeds; ++i) {
      caught = kind.run(seed + i, steps, mutant).breach;
    }
    std::cout << kind.name << " mutant " << mutant << ": "
              << (caught.empty() ? "MISSED" : "caught: " + caught) << "\n";
    missed += caught.empty() ? 1 : 0;
  }
  return missed;
}

}  // namespace

int RandomCommand(std::span<const std::string> arguments) {
  const std::uint64_t first = NumberOr(arguments, "--seed", 1);
  const std::uint64_t seeds = NumberOr(arguments, "--seeds", 1);
  const std::uint64_t steps = NumberOr(arguments, "--steps", 10'000);
  const std::string wanted = OptionOr(arguments, "--kind", "");
  const bool mutants = std::find(arguments.begin(), arguments.end(),
                                 "--mutants") != arguments.end();
  int failures = 0;
  std::uint64_t total = 0;
  for (const auto& kind : HistoryKinds()) {
    if (!wanted.empty() && wanted != kind.name) {
      continue;
    }
    if (mutants) {
      failures += RunMutants(kind, first, seeds, steps);
      continue;
    }
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
      const HistoryReport report = kind.run(seed, steps, {});
      total += report.steps;
      if (!report.breach.empty()) {
        PrintBreach(kind, seed, report);
        ++failures;
      }
    }
    std::cout << kind.name << ": " << seeds << " seeds done\n";
  }
  std::cout << total << " steps, " << failures << " failures\n";
  return failures == 0 ? 0 : 1;
}

}  // namespace jackdaw
