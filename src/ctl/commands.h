#pragma once

#include <string>
#include <vector>

#include "core/error.h"
#include "ctl/operator_client.h"

namespace jackdaw {

/// A parsed command line of jackdawctl.
struct CommandLine {
  /// Command, verb and names, in order.
  std::vector<std::string> words;
  /// `--set member=value` words.
  std::vector<std::string> members;
  std::string reason;
  std::string workspace;
  std::string kind;
  std::string request;
  std::string target;
  std::string instance;
  std::string from;
  std::string to;
  std::int64_t rate = 0;
  std::int64_t burst = 0;
  bool json = false;
  bool chrome = false;
  bool dry_run = false;
  /// Ends an evacuation instead of beginning it.
  bool undo = false;
};

/// Calls a path at every instance that is live or leaving.
/// @param unreachable names of those that did not answer; null to leave out
Result<std::vector<boost::json::value>> CallAll(
    const OperatorClient& client,
    std::string_view path,
    boost::json::array* unreachable);

/// Runs one command. @returns the text to print, or the error
Result<std::string> RunCommand(const OperatorClient& client,
                               const CommandLine& line);

}  // namespace jackdaw
