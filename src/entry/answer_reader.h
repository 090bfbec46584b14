#pragma once

#include <boost/asio/awaitable.hpp>

#include "entry/stop_watch.h"
#include "targets/target_client.h"

namespace jackdaw {

/// A whole answer of a target, or why there is none.
struct ReadAnswer {
  Result<HttpResponse> answer;
  /// On a failure: whether any byte of the request may have reached the target.
  bool bytes_sent = false;

  ReadAnswer(Result<HttpResponse> read, bool sent)
      : answer(std::move(read)), bytes_sent(sent) {}
};

/// Reads an answer up to its explicit end. A truncated one is an error.
/// @param watch says when to stop waiting; the pipe is then closed
/// @param head status and headers, where they were read already
boost::asio::awaitable<ReadAnswer> ReadWholeAnswer(
    std::shared_ptr<ResponsePipe> pipe,
    HttpResponse head,
    StopWatch& watch);

}  // namespace jackdaw
