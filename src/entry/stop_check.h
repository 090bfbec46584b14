#pragma once

#include <optional>

#include "core/refusal.h"
#include "entry/caller_request.h"
#include "instance/context.h"

namespace jackdaw {

/// Why a request that is being served must end now: its key was withdrawn, or
/// the instance must end. @returns nothing while it may go on
std::optional<Refusal> FindStopReason(const InstanceContext& context,
                                      const CallerRequest& request);

}  // namespace jackdaw
