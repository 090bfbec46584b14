#include <iostream>

#include "core/object_reader.h"
#include "replay/command.h"
#include "replay/options.h"
#include "replay/trace_run.h"

namespace jackdaw {
namespace {

int Fail(const Error& error) {
  std::cerr << "jackdaw-replay: " << error.Line() << "\n";
  return ExitCode(error.kind);
}

constexpr std::uint64_t kDefaultSeconds = 60;

}  // namespace

int GenerateCommand(std::span<const std::string> arguments) {
  const std::string name = arguments.empty() ? "" : arguments.front();
  const TraceShape* shape = FindTraceShape(name);
  if (shape == nullptr) {
    return Fail({ErrorKind::kNotFound, "no deployment '" + name + "'",
                 "generate ponte-nordeste|lantern-permits [--fault F] "
                 "[--seconds S] [--seed N]"});
  }
  std::cout << EncodeTrace(
      GenerateTrace(*shape, OptionOr(arguments, "--fault", "none"),
                    static_cast<std::int64_t>(
                        NumberOr(arguments, "--seconds", kDefaultSeconds)),
                    NumberOr(arguments, "--seed", 1)));
  return 0;
}

int RunTraceCommand(std::span<const std::string> arguments) {
  if (arguments.empty()) {
    return Fail({ErrorKind::kInvalidSetting, "no trace given",
                 "run TRACE [--expect OUTCOMES] [--policy baseline|daemon]"});
  }
  const auto text = ReadFile(arguments.front());
  if (!text) {
    return Fail(text.error());
  }
  const auto trace = DecodeTrace(text.value());
  if (!trace) {
    return Fail(trace.error());
  }
  const bool baseline = OptionOr(arguments, "--policy", "daemon") == "baseline";
  const auto figures = RunTrace(
      trace.value(), baseline ? TracePolicy::kBaseline : TracePolicy::kDaemon);
  if (!figures) {
    return Fail(figures.error());
  }
  std::cout << EncodeFigures(figures.value()) << "\n";
  const std::string expected = OptionOr(arguments, "--expect", "");
  if (expected.empty()) {
    return 0;
  }
  const auto outcomes = ReadFile(expected);
  if (!outcomes) {
    return Fail(outcomes.error());
  }
  const auto checked = CheckOutcomes(figures.value(), outcomes.value());
  return checked ? 0 : Fail(checked.error());
}

}  // namespace jackdaw
