#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "core/error.h"
#include "gateway/caller_connection.h"
#include "http/endpoint.h"

namespace jackdaw::serving {

/// Accepts callers' connections and keeps track of those that are open.
class CallerListener {
 public:
  CallerListener(boost::asio::io_context& context,
                 CallerHandler& handler,
                 DeadlineQueue& deadlines,
                 const MonotonicClock& clock);

  /// Binds and starts to accept. Port 0 lets the system pick.
  /// @returns the bound endpoint, or kAddressInUse
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// Ends all requests under way, each with its final answer.
  void EndTasks();
  /// Stops accepting and closes connections without a request.
  void StopAccepting();
  /// Connections with a request, or with an answer that has not left yet.
  std::size_t busy();

 private:
  void Accept();
  void RemoveClosed();

  boost::asio::io_context& context_;
  CallerHandler& handler_;
  DeadlineQueue& deadlines_;
  const MonotonicClock& clock_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<CallerConnection>> connections_;
  std::size_t accepted_ = 0;
};

}  // namespace jackdaw::serving
