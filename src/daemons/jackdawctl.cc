#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "ctl/commands.h"
#include "ctl/log_command.h"

namespace {

constexpr std::string_view kExamples = R"(
Commands:
  workspace|target|deployment|model|adapter|service|exception
            create NAME [--set member=value ...] | list | show NAME | delete NAME
  exception delete SCOPE SETTING
  key       create ID --workspace W | list | show ID | withdraw ID | delete ID
  limit     set WORKSPACE --rate N --burst N --reason TEXT
  default   set SETTING VALUE | list
  apply     FILE [--dry-run]
  evacuate  DOMAIN [--undo] [--dry-run]
            no new requests to the targets of a failure domain
  evacuations                        evacuated failure domains
  status | drain INSTANCE
  placement
  refusals  [--workspace W] [--kind K] [--instance I] [--from T] [--to T]
            T is like 2026-01-31T08:00:00Z or -90m; without --from, one hour
  timeline  [--request ID] [--workspace W] [--target T] [--chrome]
  explain   ID [LOGFILE...]          events of one request, from logs
  why-refused [LOGFILE...]           refusals and failures by kind, from logs
            [--from T] [--to T], times as in the logs; without files the logs
            come on standard input

Examples:
  jackdawctl --operators 127.0.0.1:7001 workspace create recife-schools
  jackdawctl key create k1 --workspace recife-schools
  jackdawctl limit set recife-schools --rate 2000 --burst 8000 --reason "term"
  jackdawctl refusals --workspace recife-schools --json

Exit codes: 0 done, 2 usage or invalid, 3 malformed, 4 not found, 5 conflict,
  6 timeout, 7 unavailable, 8 overloaded, 9 denied, 10 truncated, 70 internal
)";

int Fail(const jackdaw::Error& error) {
  std::cerr << "jackdawctl: " << error.Line() << "\n";
  return jackdaw::ExitCode(error.kind);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("jackdawctl", "Operators' command line.");
  jackdaw::CommandLine line;
  const char* from_environment = std::getenv("JACKDAW_OPERATORS");
  std::string operators =
      from_environment == nullptr ? "" : std::string(from_environment);
  options.add_options()("operators", "Operators' address of any instance",
                        cxxopts::value(operators))("words", "Command",
                                                   cxxopts::value(line.words))(
      "set", "member=value", cxxopts::value(line.members))(
      "reason", "Why", cxxopts::value(line.reason))(
      "workspace", "Workspace", cxxopts::value(line.workspace))(
      "kind", "Refusal kind", cxxopts::value(line.kind))(
      "request", "Request id", cxxopts::value(line.request))(
      "target", "Target", cxxopts::value(line.target))(
      "instance", "Instance", cxxopts::value(line.instance))(
      "from", "Start time, inclusive", cxxopts::value(line.from))(
      "to", "End time, exclusive", cxxopts::value(line.to))(
      "rate", "Tokens per second", cxxopts::value(line.rate))(
      "burst", "Tokens", cxxopts::value(line.burst))("json", "Print JSON",
                                                     cxxopts::value(line.json))(
      "chrome", "Print Chrome trace events", cxxopts::value(line.chrome))(
      "dry-run", "Only show the difference", cxxopts::value(line.dry_run))(
      "undo", "End the evacuation", cxxopts::value(line.undo))(
      "version", "Print the version")("help", "Print this help");
  options.parse_positional({"words"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kExamples;
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << "jackdawctl " << JACKDAW_VERSION << "\n";
      return 0;
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    return Fail({jackdaw::ErrorKind::kInvalidSetting, failure.what(),
                 "see jackdawctl --help"});
  }
  if (jackdaw::IsLogCommand(line.words)) {
    const auto output =
        jackdaw::RunLogCommand(line.words, {line.json, line.from, line.to});
    if (!output) {
      return Fail(output.error());
    }
    std::cout << output.value();
    return 0;
  }
  const auto endpoint = jackdaw::ParseEndpoint(operators);
  if (!endpoint) {
    return Fail({jackdaw::ErrorKind::kInvalidSetting,
                 "--operators: " + endpoint.error().message,
                 "name any instance's operators address, or set "
                 "JACKDAW_OPERATORS"});
  }
  const auto text =
      jackdaw::RunCommand(jackdaw::OperatorClient(endpoint.value()), line);
  if (!text) {
    return Fail(text.error());
  }
  std::cout << text.value();
  return 0;
}
