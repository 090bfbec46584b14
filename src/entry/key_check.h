#pragma once

#include <optional>
#include <string>

#include "core/refusal.h"
#include "instance/context.h"

namespace jackdaw {

/// Returns the time until which this instance may accept keys on the basis of
/// its current view of the configuration.
Instant KeysValidUntil(const InstanceContext& context);

/// Checks whether the key of an admitted request is still valid. It is not if
/// it was withdrawn, or if the process was paused so long that the instance's
/// view of the keys has expired.
/// @returns the refusal that ends the request, or nothing if the key is valid
std::optional<Refusal> CheckKeyValid(const InstanceContext& context,
                                     const std::string& key_digest);

}  // namespace jackdaw
