#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "serving/target_registration.h"

namespace jackdaw::serving {

/// Encodes what followers need of a target's row: service, address, failure
/// domain, state, start time, slots, cold time, and models with versions and
/// adapters. It lacks what only the leader needs: the near models and the
/// number of accepted orders. The text is UTF-8 and has no character that JSON
/// escapes.
std::string EncodeRelayedTarget(const TargetRegistration& entry);

/// Whether a text has this form. The JSON of a full row never has.
bool IsRelayedTarget(std::string_view text);

/// Decodes the text. Fields that this release does not know are ignored.
/// @param id key of the row
/// @returns the entry, or kMalformed
Result<TargetRegistration> DecodeRelayedTarget(std::string_view id,
                                               std::string_view text);

}  // namespace jackdaw::serving
