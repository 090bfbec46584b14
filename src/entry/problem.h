#pragma once

#include <string>
#include <string_view>

#include "core/refusal.h"
#include "http/message.h"

namespace jackdaw {

/// RFC 9457 problem document of a refusal.
std::string ProblemJson(const Refusal& refusal, std::string_view request_id);

/// Response that carries a refusal, with Retry-After where waiting helps.
/// @param now moment that Retry-After counts from
HttpResponse ProblemResponse(const Refusal& refusal,
                             std::string_view request_id,
                             Instant now);

}  // namespace jackdaw
