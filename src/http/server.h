#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/error.h"
#include "http/endpoint.h"
#include "http/message.h"

namespace jackdaw {

/// Bounds on what one connection may send or hold.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024ULL * 1024;
  std::uint32_t idle_ms = 60'000;
  std::uint32_t write_ms = 30'000;
  /// At this number the connection that was idle for the longest time is closed
  /// in favor of a new one.
  std::uint32_t connections = 4096;
  /// Time to read one request from its first byte; 0: idle_ms for the whole
  /// request.
  std::uint32_t request_ms = 0;
  /// Bytes of incomplete requests of all connections, above which the oldest of
  /// them is given up; the same for responses that are not taken. So many bytes
  /// of complete requests may run; further ones are refused. 0: no bound.
  std::size_t total_bytes = 0;
  /// Size of the kernel's buffers of a connection; 0: the system's.
  int socket_bytes = 0;
  /// Length of the queue of connections that are not yet accepted.
  int backlog = 4096;
};

/// One request on a server connection and the way to answer it. A handler
/// answers exactly once: whole, or as a stream that it ends.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// Sends a whole response. @returns false when the caller has gone
  virtual boost::asio::awaitable<bool> Respond(HttpResponse response) = 0;
  /// Sends status and headers of a chunked response.
  virtual boost::asio::awaitable<bool> BeginStream(HttpResponse head) = 0;
  /// Sends one chunk; suspends while the caller is slow, which bounds memory.
  virtual boost::asio::awaitable<bool> WriteChunk(std::string_view bytes) = 0;
  /// Ends the chunked response. Left out, the caller sees a truncation.
  virtual boost::asio::awaitable<bool> EndStream() = 0;
  /// Whether the caller has closed its side of the connection.
  virtual bool CallerGone() const = 0;
  /// Closes the connection after this exchange.
  virtual void CloseAfter() = 0;
};

/// HTTP/1.1 server with keep-alive on one event loop.
class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

  HttpServer(boost::asio::io_context& context,
             const HttpLimits& limits,
             Handler handler);
  ~HttpServer();

  /// Binds and starts to accept. Port 0 lets the system pick.
  /// @returns the bound endpoint, or kAddressInUse
  Result<Endpoint> Listen(const Endpoint& endpoint);

  /// Stops accepting; open exchanges go on. Call on the event loop's thread.
  void StopAccepting();

  /// Closes connections on which no request has begun, and each other one
  /// after its request. Call on the event loop's thread.
  void CloseIdle();

  /// Requests under way, each from its first byte on.
  std::uint64_t active() const;

  /// Open connections. Call on the event loop's thread.
  std::uint32_t connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace jackdaw
