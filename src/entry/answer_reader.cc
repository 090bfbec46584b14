#include "entry/answer_reader.h"

namespace jackdaw {

namespace asio = boost::asio;

asio::awaitable<ReadAnswer> ReadWholeAnswer(std::shared_ptr<RelayPipe> pipe,
                                            HttpResponse head) {
  for (;;) {
    std::optional<RelayItem> item =
        co_await pipe->Pop(std::chrono::steady_clock::time_point::max());
    switch (item->kind) {
      case RelayItem::Kind::kHead:
        head = std::move(item->head);
        break;
      case RelayItem::Kind::kChunk:
        head.body += item->bytes;
        break;
      case RelayItem::Kind::kFailure:
        co_return ReadAnswer(item->error, item->bytes_sent);
      case RelayItem::Kind::kEnd:
        co_return ReadAnswer(std::move(head), true);
    }
  }
}

}  // namespace jackdaw
