#include "entry/answer_reader.h"

namespace jackdaw {

namespace asio = boost::asio;

asio::awaitable<AnswerResult> ReadWholeAnswer(
    std::shared_ptr<ResponsePipe> pipe,
    HttpResponse head,
    StopMonitor& monitor) {
  for (;;) {
    std::optional<ResponsePart> item = co_await pipe->Pop(
        std::chrono::steady_clock::now() + kStopCheckInterval);
    if (!item && !monitor.Check()) {
      continue;
    }
    if (!item) {
      pipe->Close();
      co_return AnswerResult(
          Error{ErrorKind::kTruncated, monitor.reason().reason,
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
        co_return AnswerResult(item->error, item->bytes_sent);
      case ResponsePart::Kind::kEnd:
        co_return AnswerResult(std::move(head), true);
    }
  }
}

}  // namespace jackdaw
