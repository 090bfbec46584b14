#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "instance/context.h"
#include "routing/router.h"

namespace jackdaw {

/// Picks a target for a model. Where none holds it, says so to the placement
/// thread and waits while the model is loaded; gives up at once when the load
/// is expected after the deadline.
/// @param retry_at set to the expected moment when there is none in time
/// @returns the target, or nothing
boost::asio::awaitable<Result<std::optional<PickedTarget>>> PickOrWait(
    InstanceContext& context,
    std::string model,
    std::vector<std::string> tried,
    Instant deadline,
    Instant& retry_at);

}  // namespace jackdaw
