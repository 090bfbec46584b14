#include "entry/answer_reader.h"

namespace jackdaw {

namespace asio = boost::asio;

asio::awaitable<ReadAnswer> ReadWholeAnswer(std::shared_ptr<ResponsePipe> pipe,
                                            HttpResponse head,
                                            StopWatch& watch) {
  for (;;) {
    std::optional<ResponsePart> item =
        co_await pipe->Pop(std::chrono::steady_clock::now() + kStopCheckTime);
    if (!item && !watch.Check()) {
      continue;
    }
    if (!item) {
      pipe->Close();
      co_return ReadAnswer(Error{ErrorKind::kTruncated, watch.reason().reason,
                                 "send again where Retry-After says so"},
                           true);
    }
    switch (item->kind) {
      case ResponsePart::Kind::kHead:
        head = std::move(item->head);
        break;
      case ResponsePart::Kind::kChunk:
        head.body += item->bytes;
        break;
      case ResponsePart::Kind::kFailure:
        co_return ReadAnswer(item->error, item->bytes_sent);
      case ResponsePart::Kind::kEnd:
        co_return ReadAnswer(std::move(head), true);
    }
  }
}

}  // namespace jackdaw
