#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/refusal.h"
#include "entry/caller_request.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Turns a refusal into its record, its event, its metric and its answer; the
/// one place where requests are refused.
class RefusalSender {
 public:
  explicit RefusalSender(InstanceContext& context) : context_(context) {}

  /// Records a refusal without answering.
  void Record(const CallerRequest& request, const Refusal& refusal);

  /// Records and answers.
  boost::asio::awaitable<void> Refuse(HttpExchange& exchange,
                                      const CallerRequest& request,
                                      Refusal refusal);

  /// Records and ends a stream that has begun with an explicit error event.
  boost::asio::awaitable<void> RefuseStream(HttpExchange& exchange,
                                            const CallerRequest& request,
                                            Refusal refusal);

 private:
  InstanceContext& context_;
};

}  // namespace jackdaw
