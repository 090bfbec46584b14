#pragma once

#include "ctl/commands.h"

namespace jackdaw {

/// `key withdraw`: commits the withdrawal, then waits until it is in force at
/// every instance, those that join meanwhile included.
/// @returns the report by instance; kUnavailable with the report when some
/// instance did not confirm. Such an instance has stopped using keys by then,
/// unless it has the withdrawal: its view cannot be confirmed without it
Result<std::string> WithdrawKey(const OperatorClient& client,
                                const CommandLine& line);

}  // namespace jackdaw
