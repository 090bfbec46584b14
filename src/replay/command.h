#pragma once

#include <span>
#include <string>
#include <string_view>

namespace jackdaw {

/// A command of jackdaw-replay.
struct ReplayCommand {
  std::string_view name;
  std::string_view help;
  /// @param arguments words after the command @returns the exit code
  int (*run)(std::span<const std::string> arguments);
};

/// All commands; each stands in a file of its own.
std::span<const ReplayCommand> ReplayCommands();

int BenchCommand(std::span<const std::string> arguments);
int BudgetsCommand(std::span<const std::string> arguments);
int QuotasCommand(std::span<const std::string> arguments);
int MembershipCommand(std::span<const std::string> arguments);
int PlacementCommand(std::span<const std::string> arguments);
int RoutingCommand(std::span<const std::string> arguments);
int OnceCommand(std::span<const std::string> arguments);
int RefusalsCommand(std::span<const std::string> arguments);
int GenerateCommand(std::span<const std::string> arguments);
int RunTraceCommand(std::span<const std::string> arguments);
int RandomCommand(std::span<const std::string> arguments);
int CapacityCommand(std::span<const std::string> arguments);
int ReportCommand(std::span<const std::string> arguments);

}  // namespace jackdaw
