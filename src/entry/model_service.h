#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/attempts.h"
#include "entry/caller_request.h"
#include "entry/event_scanner.h"
#include "entry/model_request.h"
#include "entry/refuser.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Serves completions: admission, choice of a target, retries before the
/// first byte, and the answer to the caller.
class ModelService {
 public:
  ModelService(InstanceContext& context, Refuser& refuser)
      : context_(context), refuser_(refuser) {}

  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     CallerRequest request);

 private:
  // An answer whose head has come, and the target it comes from.
  struct Opened {
    std::string target;
    std::shared_ptr<RelayPipe> pipe;
    HttpResponse head;
    Attempts* attempts = nullptr;
    /// Set once the target failed during the answer; `attempts` knows it.
    bool failed = false;
  };

  boost::asio::awaitable<std::optional<Opened>> Open(
      const HttpRequest& from,
      const CallerRequest& request,
      const Admitted& admitted,
      Attempts& attempts);
  boost::asio::awaitable<bool> PassWhole(HttpExchange& exchange,
                                         const CallerRequest& request,
                                         Opened& opened,
                                         std::int64_t& tokens);
  boost::asio::awaitable<bool> PassStream(HttpExchange& exchange,
                                          const CallerRequest& request,
                                          Opened& opened,
                                          std::int64_t& tokens);

  InstanceContext& context_;
  Refuser& refuser_;
};

}  // namespace jackdaw
