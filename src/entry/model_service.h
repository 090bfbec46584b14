#pragma once

#include <boost/asio/awaitable.hpp>

#include "entry/caller_request.h"
#include "entry/model_request.h"
#include "entry/refusal_sender.h"
#include "entry/target_opener.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Serves completions: admits each, then forwards one complete answer or one
/// stream.
class ModelService {
 public:
  ModelService(InstanceContext& context, RefusalSender& refusal_sender)
      : context_(context), refusal_sender_(refusal_sender), opener_(context) {}

  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     CallerRequest request);

 private:
  boost::asio::awaitable<void> ServeAdmitted(HttpExchange& exchange,
                                             const CallerRequest& request,
                                             const ModelRequest& model,
                                             const Admitted& admitted);
  boost::asio::awaitable<bool> ForwardWholeAnswer(HttpExchange& exchange,
                                                  const CallerRequest& request,
                                                  const OpenOptions& options,
                                                  AttemptTracker& attempts,
                                                  OpenedAnswer opened,
                                                  std::int64_t& tokens);
  void RefundUnused(const CallerRequest& request,
                    const Admitted& admitted,
                    std::int64_t used);

  InstanceContext& context_;
  RefusalSender& refusal_sender_;
  TargetOpener opener_;
};

}  // namespace jackdaw
