#pragma once

#include <span>
#include <string>

#include "core/error.h"

namespace jackdaw {

/// Options of the commands that read logs.
struct LogCommandOptions {
  bool json = false;
  std::string from;
  std::string to;
};

/// Whether a command reads logs and asks no instance.
bool IsLogCommand(std::span<const std::string> words);

/// Runs `explain ID [FILE...]` or `why-refused [FILE...]`. Without files the
/// logs are read from standard input.
/// @returns what is to be printed, or kNotFound, kUnreadableFile
Result<std::string> RunLogCommand(std::span<const std::string> words,
                                  const LogCommandOptions& options);

}  // namespace jackdaw
