#include "gateway/event_splitter.h"

#include <charconv>

namespace jackdaw::serving {
namespace {

// Returns the length of the first event with its terminating empty line, or 0
// if the event is incomplete.
std::size_t EventLength(std::string_view bytes) {
  std::size_t line = 0;
  while (line < bytes.size()) {
    const auto end = bytes.find('\n', line);
    if (end == std::string_view::npos) {
      return 0;
    }
    const bool empty = end == line || (end == line + 1 && bytes[line] == '\r');
    if (empty) {
      return end + 1;
    }
    line = end + 1;
  }
  return 0;
}

// Returns the number in the event's `id` field, if there is one.
std::optional<std::int64_t> EventId(std::string_view event) {
  constexpr std::string_view kId = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    const auto end = event.find('\n', line);
    std::string_view text = event.substr(line, end - line);
    if (text.starts_with(kId)) {
      text.remove_prefix(kId.size());
      while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
      }
      std::int64_t id = 0;
      const auto read =
          std::from_chars(text.data(), text.data() + text.size(), id);
      if (read.ec == std::errc()) {
        return id;
      }
      return std::nullopt;
    }
    line = end + 1;
  }
  return std::nullopt;
}

}  // namespace

int EventSplitter::TakeCompleteEvents(std::string& out) {
  int taken = 0;
  std::string_view rest = pending_;
  while (const std::size_t length = EventLength(rest)) {
    const std::string_view event = rest.substr(0, length);
    rest.remove_prefix(length);
    const auto id = EventId(event);
    if (id && last_event_ && *id <= *last_event_) {
      continue;
    }
    if (id) {
      last_event_ = id;
    }
    out += event;
    ++taken;
  }
  pending_.erase(0, pending_.size() - rest.size());
  return taken;
}

}  // namespace jackdaw::serving
