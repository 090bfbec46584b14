#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "core/duty.h"
#include "http/server.h"
#include "instance/context.h"
#include "instance/fleet_watcher.h"
#include "operator/config_writer.h"
#include "operator/refusal_reader.h"
#include "platform/table_store.h"

namespace jackdaw {

/// HTTP interface for operators, metrics, health checks and the event timeline.
class OperatorService {
 public:
  /// @param begin_drain called when an operator requests a drain of this
  /// instance
  OperatorService(InstanceContext& context,
                  Duty& duty,
                  std::function<void()> begin_drain);

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<HttpResponse> Route(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> PutConfig(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> GetRefusals(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> GetConfig();
  HttpResponse StatusResponse() const;
  HttpResponse ReadyResponse() const;

  InstanceContext& context_;
  serving::platform::TableStore platform_;
  ConfigWriter writer_;
  RefusalReader refusals_;
  std::function<void()> begin_drain_;
};

}  // namespace jackdaw
