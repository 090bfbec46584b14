#pragma once

#include <boost/asio/awaitable.hpp>

#include "entry/caller_request.h"
#include "entry/model_request.h"
#include "entry/refuser.h"
#include "entry/target_opener.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Serves completions: admission, then one whole answer or one stream.
class ModelService {
 public:
  ModelService(InstanceContext& context, Refuser& refuser)
      : context_(context), refuser_(refuser), opener_(context) {}

  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     CallerRequest request);

 private:
  boost::asio::awaitable<void> Run(HttpExchange& exchange,
                                   const CallerRequest& request,
                                   const ModelRequest& model,
                                   const Admitted& admitted);
  boost::asio::awaitable<bool> PassWhole(HttpExchange& exchange,
                                         const CallerRequest& request,
                                         const OpenOrder& order,
                                         Attempts& attempts,
                                         OpenedAnswer opened,
                                         std::int64_t& tokens);
  void RefundUnused(const CallerRequest& request,
                    const Admitted& admitted,
                    std::int64_t used);

  InstanceContext& context_;
  Refuser& refuser_;
  TargetOpener opener_;
};

}  // namespace jackdaw
