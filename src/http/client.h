#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "http/endpoint.h"
#include "http/message.h"

namespace jackdaw {

/// Whether a call may use a kept connection. A fresh one is used where a
/// request must not be sent twice because a kept one had silently closed.
enum class ConnectionChoice { kKeptOrFresh, kFresh };

/// One request to a server and its answer, read whole or bit by bit. The
/// connection goes back to the pool only after the answer's explicit end.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Connects, sends the request, reads status and headers.
  virtual boost::asio::awaitable<Result<HttpResponse>> Start() = 0;
  /// Appends body bytes to `out`; suspends until some come.
  /// @returns false at the explicit end; kTruncated when the connection ends
  /// before it
  virtual boost::asio::awaitable<Result<bool>> ReadSome(std::string& out) = 0;
  /// True once any byte of the request may have reached the server.
  virtual bool bytes_sent() const = 0;
  /// Replaces the deadline of the next operation.
  virtual void SetDeadline(Instant deadline) = 0;
  /// Closes the connection; a pending operation fails.
  virtual void Cancel() = 0;
};

/// Longest body of an answer that is read whole, in bytes, unless a caller of
/// the client expects more: answers to control calls are far shorter.
inline constexpr std::size_t kMaxControlBody = 1024UL * 1024;

/// Reads the rest of an answer.
/// @param max_body bytes of the longest body that is read
/// @returns the body, or kTruncated if it is longer or was cut off
boost::asio::awaitable<Result<std::string>> ReadBody(HttpCall& call,
                                                     std::size_t max_body);

/// HTTP/1.1 client with kept connections, on one event loop. One request at a
/// time uses a connection; one whose answer was given up is closed.
class HttpClient {
 public:
  /// @param kept_per_endpoint idle connections kept for each server
  HttpClient(boost::asio::io_context& context,
             const MonotonicClock& clock,
             std::size_t kept_per_endpoint);
  ~HttpClient();

  /// Prepares a call. @param deadline moment after which it fails (kTimeout)
  std::unique_ptr<HttpCall> Prepare(const Endpoint& endpoint,
                                    HttpRequest request,
                                    Instant deadline,
                                    ConnectionChoice choice);

  /// Sends a request and reads the whole answer.
  /// @param max_body bytes of the longest body that is read
  boost::asio::awaitable<Result<HttpResponse>> Fetch(
      Endpoint endpoint,
      HttpRequest request,
      Instant deadline,
      std::size_t max_body = kMaxControlBody);

 private:
  struct Pool;
  std::shared_ptr<Pool> pool_;
};

/// Runs one call on an event loop of its own and waits for the answer; for
/// command-line programs.
Result<HttpResponse> FetchNow(const Endpoint& endpoint,
                              HttpRequest request,
                              Micros limit);

}  // namespace jackdaw
