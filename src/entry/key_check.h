#pragma once

#include <optional>
#include <string>

#include "core/refusal.h"
#include "instance/context.h"

namespace jackdaw {

/// Moment until which keys may be used on this instance's view.
Instant KeysValidUntil(const InstanceContext& context);

/// Whether a key that was admitted may be used no longer: it was withdrawn,
/// or the instance stood still and its view is too old to tell.
/// @returns the refusal that ends the request, or nothing
std::optional<Refusal> CheckKeyValid(const InstanceContext& context,
                                     const std::string& key_digest);

}  // namespace jackdaw
