#include "entry/event_scanner.h"

namespace jackdaw {

std::string EventScanner::Feed(std::string_view bytes) {
  constexpr std::string_view kEnd = "\n\n";
  constexpr std::string_view kData = "data:";
  constexpr std::string_view kDone = "data: [DONE]";
  rest_ += bytes;
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = rest_.find(kEnd, start);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
        std::string_view(rest_).substr(start, end - start);
    if (event == kDone) {
      done_ = true;
    } else if (event.starts_with(kData)) {
      ++events_;
    }
    start = end + kEnd.size();
  }
  std::string whole = rest_.substr(0, start);
  rest_.erase(0, start);
  return whole;
}

}  // namespace jackdaw
