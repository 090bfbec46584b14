#include "entry/event_scanner.h"

namespace jackdaw {

std::vector<std::string> EventScanner::Feed(std::string_view bytes) {
  constexpr std::string_view kEnd = "\n\n";
  std::vector<std::string> events;
  if (overflowed_) {
    return events;
  }
  // The first half of the "\n\n" separator may be the last byte of the
  // previous call.
  std::size_t from = pending_.empty() ? 0 : pending_.size() - 1;
  pending_ += bytes;
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = pending_.find(kEnd, from);
    const std::size_t size =
        (end == std::string::npos ? pending_.size() : end) - start;
    if (size > kMaxEventBytes) {
      overflowed_ = true;
      pending_.clear();
      return events;
    }
    if (end == std::string::npos) {
      break;
    }
    events.push_back(pending_.substr(start, size));
    start = end + kEnd.size();
    from = start;
  }
  pending_.erase(0, start);
  return events;
}

}  // namespace jackdaw
