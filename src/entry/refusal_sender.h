#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/refusal.h"
#include "entry/caller_request.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Sends refusals to callers, and records each in the refusal log, the event
/// log and the metrics. All requests are refused here, so that none is missing
/// from the records.
class RefusalSender {
 public:
  explicit RefusalSender(InstanceContext& context) : context_(context) {}

  /// Records a refusal without sending it.
  void Record(const CallerRequest& request, const Refusal& refusal);

  /// Records a refusal and sends it as the answer.
  boost::asio::awaitable<void> Refuse(HttpExchange& exchange,
                                      const CallerRequest& request,
                                      Refusal refusal);

  /// Records a refusal and ends a stream that has already begun with an
  /// explicit error event.
  boost::asio::awaitable<void> RefuseStream(HttpExchange& exchange,
                                            const CallerRequest& request,
                                            Refusal refusal);

 private:
  InstanceContext& context_;
};

}  // namespace jackdaw
