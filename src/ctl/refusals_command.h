#pragma once

#include "ctl/commands.h"

namespace jackdaw {

/// Reads a time on the command line.
/// @param text milliseconds since the Unix epoch, `YYYY-MM-DDTHH:MM:SSZ`, or
/// `-90m` for a span before now with unit s, m, h or d
/// @returns milliseconds since the Unix epoch
Result<std::int64_t> ParseTime(std::string_view text, std::int64_t now_ms);

/// `refusals`: reads all pages and shows records and gaps.
Result<std::string> ShowRefusals(const OperatorClient& client,
                                 const CommandLine& line);

}  // namespace jackdaw
