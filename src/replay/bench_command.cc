#include <chrono>
#include <iostream>

#include "replay/bench.h"
#include "replay/command.h"

namespace jackdaw {

// The signature goes to standard output and the speed to standard error, so
// that the former is the same on every machine.
int BenchCommand(std::span<const std::string> /*arguments*/) {
  const auto start = std::chrono::steady_clock::now();
  const BenchResult result = RunBench();
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
  std::cout << "Bench: " << result.signature << "\n";
  std::cerr << static_cast<std::uint64_t>(
                   static_cast<double>(result.decisions) / spent.count())
            << " decisions per second\n";
  return 0;
}

}  // namespace jackdaw
