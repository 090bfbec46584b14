#pragma once

#include <memory>
#include <string>

#include "core/duty.h"
#include "core/error.h"
#include "http/client.h"
#include "targets/chunk_pipe.h"

namespace jackdaw {

/// Part of the response to a request that was sent to a target. The parts come
/// in this order: one head, any number of chunks, then one end. A failure may
/// take the place of any part and is the last one.
struct ResponsePart {
  enum class Kind : std::uint8_t { kHead, kChunk, kEnd, kFailure };
  Kind kind = Kind::kEnd;
  HttpResponse head;
  std::string bytes;
  Error error;
  /// For a failure: whether any byte of the request may have reached the
  /// target.
  bool bytes_sent = false;
};

using ResponsePipe = ChunkPipe<ResponsePart>;

/// A request to be sent to a target.
struct TargetRequest {
  Endpoint endpoint;
  HttpRequest request;
  Instant first_byte_deadline{};
  /// Longest pause between two bytes of the response.
  Micros between_bytes{};
  ConnectionChoice choice = ConnectionChoice::kKeptOrFresh;
};

/// Sends requests to targets on the thread for target I/O.
class TargetClient {
 public:
  TargetClient(Duty& thread, const MonotonicClock& clock);

  /// Starts a request. @returns the pipe of its response, or kOverloaded when
  /// the ring of the thread is full; then nothing was sent
  Result<std::shared_ptr<ResponsePipe>> Start(
      TargetRequest order,
      const boost::asio::any_io_executor& consumer);

  /// HTTP client for other work on the same thread, such as polling reports.
  HttpClient& client() { return client_; }

 private:
  boost::asio::awaitable<void> SendRequest(TargetRequest order,
                                           std::shared_ptr<ResponsePipe> pipe);
  boost::asio::awaitable<void> ForwardResponse(HttpCall& call,
                                               Micros between_bytes,
                                               ResponsePipe& pipe);

  Duty& thread_;
  const MonotonicClock& clock_;
  HttpClient client_;
};

}  // namespace jackdaw
