#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/error.h"
#include "core/time.h"
#include "instance/context.h"

namespace jackdaw {

/// Asks for a target. Where none holds the model, says so to the placement
/// thread and waits while it is loaded; gives up at once when the load is
/// expected after the deadline.
/// @param retry_at set to the expected moment when that is too late
/// @returns the answer; kNoTarget where there is none in time
boost::asio::awaitable<Result<DispatchResult>> DispatchOrWait(
    InstanceContext& context,
    DispatchRequest order,
    Instant deadline,
    Instant& retry_at);

}  // namespace jackdaw
