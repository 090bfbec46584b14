#pragma once

#include <boost/asio/awaitable.hpp>

#include "entry/stop_monitor.h"
#include "targets/target_client.h"

namespace jackdaw {

/// A complete answer of a target, or the error that prevented it.
struct AnswerResult {
  Result<HttpResponse> answer;
  /// On an error: whether any byte of the request may have reached the target.
  bool bytes_sent = false;

  AnswerResult(Result<HttpResponse> read, bool sent)
      : answer(std::move(read)), bytes_sent(sent) {}
};

/// Reads an answer up to its explicit end. A truncated answer is an error.
/// @param head status and headers if they were already read, else empty
/// @param monitor polled while waiting; when it stops, the pipe is closed and
/// kTruncated is returned
boost::asio::awaitable<AnswerResult> ReadWholeAnswer(
    std::shared_ptr<ResponsePipe> pipe,
    HttpResponse head,
    StopMonitor& monitor);

}  // namespace jackdaw
