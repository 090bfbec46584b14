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

/// Passes a request through admission. Fills in the request id and the key
/// fields of `info`, and sets the workspace of `request`. If admission refuses
/// the request, sends the refusal to the caller.
/// @param description model, or service and path, shown in the request's trace
/// @returns nothing if the request was refused; the caller has its answer then
boost::asio::awaitable<std::optional<Admitted>> AdmitRequest(
    InstanceContext& context,
    RefusalSender& refusal_sender,
    HttpExchange& exchange,
    CallerRequest& request,
    RequestInfo info,
    std::string description);

}  // namespace jackdaw
