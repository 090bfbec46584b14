#include <chrono>
#include <cxxopts.hpp>
#include <iostream>

#include "replay/bench.h"

namespace {

// Prints the signature on standard output and the speed beside it, so that
// the signature line is the same on every machine.
int Bench() {
  const auto start = std::chrono::steady_clock::now();
  const jackdaw::BenchResult result = jackdaw::RunBench();
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
  std::cout << "Bench: " << result.signature << "\n";
  std::cerr << static_cast<std::uint64_t>(
                   static_cast<double>(result.decisions) / spent.count())
            << " decisions per second\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("jackdaw-replay",
                           "Runs the decision code under a virtual clock.");
  options.add_options()("command", "bench", cxxopts::value<std::string>())(
      "help", "Print this help");
  options.parse_positional({"command"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") == 0 && parsed.count("command") != 0 &&
        parsed["command"].as<std::string>() == "bench") {
      return Bench();
    }
    std::cout << options.help() << "Example: jackdaw-replay bench\n";
    return parsed.count("help") != 0 ? 0 : 2;
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "jackdaw-replay: " << failure.what() << "\n";
    return 2;
  }
}
