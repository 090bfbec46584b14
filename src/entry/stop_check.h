#pragma once

#include <optional>

#include "core/refusal.h"
#include "entry/caller_request.h"
#include "instance/context.h"

namespace jackdaw {

/// Checks whether a request in flight must end now: because its key is no
/// longer valid, or because the drain deadline of the instance has passed.
/// @returns the refusal that ends the request, or nothing if it may continue
std::optional<Refusal> FindStopReason(const InstanceContext& context,
                                      const CallerRequest& request);

}  // namespace jackdaw
