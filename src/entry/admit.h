#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "decisions/request.h"
#include "entry/caller_request.h"
#include "entry/refusal_sender.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Admits a request, or refuses it. Fills in the parts of `info` that every
/// request has, and the workspace of `request`.
/// @param what model or call, for the time line
/// @returns nothing when the request was refused and answered
boost::asio::awaitable<std::optional<Admitted>> AdmitRequest(
    InstanceContext& context,
    RefusalSender& refusal_sender,
    HttpExchange& exchange,
    CallerRequest& request,
    RequestInfo info,
    std::string description);

}  // namespace jackdaw
