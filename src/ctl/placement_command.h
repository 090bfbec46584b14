#pragma once

#include "ctl/commands.h"

namespace jackdaw {

/// `placement`: what is where and why, and the moves planned with what each
/// is expected to gain, from all instances.
Result<std::string> ShowPlacement(const OperatorClient& client,
                                  const CommandLine& line);

}  // namespace jackdaw
