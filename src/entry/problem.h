#pragma once

#include <string>
#include <string_view>

#include "core/refusal.h"
#include "http/message.h"

namespace jackdaw {

/// Returns the RFC 9457 problem document of a refusal.
std::string ProblemJson(const Refusal& refusal, std::string_view request_id);

/// Returns the response for a refusal, with Retry-After if the request may
/// succeed later.
/// @param now time from which Retry-After counts
HttpResponse ProblemResponse(const Refusal& refusal,
                             std::string_view request_id,
                             Instant now);

}  // namespace jackdaw
