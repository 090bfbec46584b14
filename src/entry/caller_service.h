#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "entry/model_service.h"
#include "entry/plain_service.h"
#include "entry/refusal_sender.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Handles requests of callers: assigns each a request id and routes it to the
/// service for its path.
class CallerService {
 public:
  /// @param id_prefix prefix of every request id, unique to this incarnation
  /// of the instance
  CallerService(InstanceContext& context, std::string id_prefix);

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     CallerRequest request);
  HttpResponse EntryResponse() const;
  HttpResponse ModelsResponse() const;

  InstanceContext& context_;
  RefusalSender refusal_sender_;
  ModelService models_;
  PlainService plain_;
  std::string id_prefix_;
  std::uint64_t next_id_ = 1;
};

}  // namespace jackdaw
