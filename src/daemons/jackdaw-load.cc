#include <atomic>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

#include "load/load_run.h"

namespace {

int Fail(const jackdaw::Error& error) {
  std::cerr << "jackdaw-load: " << error.Line() << "\n";
  return jackdaw::ExitCode(error.kind);
}

// Parses NAME:KEY or NAME:KEY:WEIGHT.
jackdaw::Result<jackdaw::LoadWorkspace> ParseWorkspace(
    const std::string& text) {
  const std::size_t first = text.find(':');
  if (first == std::string::npos) {
    return jackdaw::Error{jackdaw::ErrorKind::kInvalidSetting,
                          "'" + text + "' is not NAME:KEY[:WEIGHT]",
                          "see jackdaw-load --help"};
  }
  const std::size_t second = text.find(':', first + 1);
  jackdaw::LoadWorkspace workspace;
  workspace.name = text.substr(0, first);
  workspace.key = text.substr(first + 1, second - first - 1);
  if (second != std::string::npos) {
    workspace.weight = std::max(1, std::atoi(text.c_str() + second + 1));
  }
  return workspace;
}

// Prints the number of sent requests to standard error once per second.
class Progress {
 public:
  explicit Progress(const std::atomic<std::uint64_t>& sent)
      : thread_([this, &sent] {
          while (!stop_) {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            std::cerr << "\rsent " << sent.load() << std::flush;
          }
        }) {}
  ~Progress() {
    stop_ = true;
    thread_.join();
    std::cerr << "\n";
  }
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

 private:
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("jackdaw-load",
                           "Open-loop load generator that checks each answer.");
  jackdaw::LoadPlan plan;
  std::string start;
  std::vector<std::string> workspaces;
  std::int64_t accelerators = 1;
  options.add_options()("entry", "Entry address of any instance",
                        cxxopts::value(start))(
      "direct", "--entry is the address of an engine",
      cxxopts::value(plan.direct))("workspace",
                                   "NAME:KEY[:WEIGHT]; may be repeated",
                                   cxxopts::value(workspaces))(
      "models", "Models, separated by commas", cxxopts::value(plan.models))(
      "service", "Plain service for bookings", cxxopts::value(plan.service))(
      "bookings-per-mille", "Bookings per 1000 requests",
      cxxopts::value(plan.bookings_per_mille))(
      "rate", "Requests per second", cxxopts::value(plan.requests_per_s))(
      "seconds", "Duration of the run", cxxopts::value(plan.seconds))(
      "tokens", "Tokens per answer", cxxopts::value(plan.tokens))(
      "prompt-words", "Words per prompt", cxxopts::value(plan.prompt_words))(
      "seed", "Random seed of the arrivals", cxxopts::value(plan.seed))(
      "threads", "Sending threads", cxxopts::value(plan.threads))(
      "accelerators", "Number of accelerators for per-accelerator figures",
      cxxopts::value(accelerators))("help", "Print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help()
                << "Example: jackdaw-load --entry 127.0.0.1:8000 --workspace "
                   "school:KEY --models m --rate 100 --seconds 10\n";
      return 0;
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    return Fail({jackdaw::ErrorKind::kInvalidSetting, failure.what(),
                 "see jackdaw-load --help"});
  }
  const auto endpoint = jackdaw::ParseEndpoint(start);
  if (!endpoint) {
    return Fail(endpoint.error());
  }
  plan.start = endpoint.value();
  for (const auto& text : workspaces) {
    const auto workspace = ParseWorkspace(text);
    if (!workspace) {
      return Fail(workspace.error());
    }
    plan.workspaces.push_back(workspace.value());
  }
  if (plan.workspaces.empty() || plan.models.empty()) {
    return Fail({jackdaw::ErrorKind::kInvalidSetting,
                 "--workspace and --models are needed",
                 "see jackdaw-load --help"});
  }
  std::atomic<std::uint64_t> sent{0};
  jackdaw::LoadResult result;
  {
    const Progress progress(sent);
    result = jackdaw::RunLoad(plan, sent);
  }
  std::cout << jackdaw::EncodeLoadResult(
                   result, static_cast<double>(plan.seconds), accelerators)
            << "\n";
  return result.broken_answers == 0 && result.doubled_calls == 0 ? 0 : 1;
}
