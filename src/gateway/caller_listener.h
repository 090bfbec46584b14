#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "core/error.h"
#include "gateway/caller_connection.h"
#include "http/endpoint.h"

namespace jackdaw::serving {

/// Accepts callers' connections and tracks the open ones.
class CallerListener {
 public:
  CallerListener(boost::asio::io_context& context,
                 CallerHandler& handler,
                 TimerQueue& timers,
                 const MonotonicClock& clock);

  /// Binds and starts to accept connections. Port 0 lets the system choose.
  /// @returns the bound endpoint, or kAddressInUse
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// Ends all requests in progress because the instance shuts down.
  void EndTasks();
  /// Stops accepting connections and closes those without a request.
  void StopAccepting();
  /// Returns the number of connections with a request in progress or a response
  /// that is not yet written.
  std::size_t busy();

 private:
  void Accept();
  void RemoveClosed();

  boost::asio::io_context& context_;
  CallerHandler& handler_;
  TimerQueue& timers_;
  const MonotonicClock& clock_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<CallerConnection>> connections_;
  std::size_t accepted_ = 0;
};

}  // namespace jackdaw::serving
