#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/error.h"
#include "core/time.h"
#include "instance/context.h"

namespace jackdaw {

/// Requests a target for a dispatch. If the first attempt of a request finds no
/// target that holds the model, reports the demand to the placement thread and
/// waits for the model load. Stops waiting at once if the load is expected to
/// end after the deadline.
/// @param retry_at set to the expected end of the load if that is too late
/// @returns the dispatch answer, with kNoTarget if there is no target in time
boost::asio::awaitable<Result<DispatchResult>> DispatchOrWaitForLoad(
    InstanceContext& context,
    DispatchRequest order,
    Instant deadline,
    Instant& retry_at);

}  // namespace jackdaw
