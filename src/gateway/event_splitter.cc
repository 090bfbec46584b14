#include "gateway/event_splitter.h"

#include <algorithm>
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

// Returns the value of the event's first field of that name, if there is one.
std::optional<std::string_view> EventField(std::string_view event,
                                           std::string_view name) {
  std::size_t line = 0;
  while (line < event.size()) {
    const auto end = event.find('\n', line);
    std::string_view text = event.substr(line, end - line);
    if (text.starts_with(name) && text.substr(name.size()).starts_with(':')) {
      text.remove_prefix(name.size() + 1);
      text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
      return text;
    }
    line = end + 1;
  }
  return std::nullopt;
}

// Returns the number in the event's `id` field, if there is one.
std::optional<std::int64_t> EventId(std::string_view event) {
  const auto text = EventField(event, "id");
  std::int64_t id = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), id).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return id;
}

// Returns whether the event is more than a comment.
bool HasData(std::string_view event) {
  return EventField(event, "data").has_value();
}

}  // namespace

void EventSplitter::BeginContinuation() {
  pending_.clear();
  awaits_next_ = last_event_.has_value();
  out_of_sequence_ = false;
}

// Returns whether the event may be the first one of a response that continues
// the stream. Ids that have skipped numbers before may do so again.
bool EventSplitter::IsNext(std::string_view event,
                           std::optional<std::int64_t> id) const {
  if (!id) {
    return !HasData(event);
  }
  return consecutive_ ? *id == *last_event_ + 1 : *id > *last_event_;
}

void EventSplitter::OnTaken(std::string_view event,
                            std::optional<std::int64_t> id) {
  if (id) {
    consecutive_ = consecutive_ && (!last_event_ || *id == *last_event_ + 1);
    last_event_ = id;
    awaits_next_ = false;
  }
  if (id || HasData(event)) {
    last_has_id_ = id.has_value();
  }
}

int EventSplitter::TakeCompleteEvents(std::string& out) {
  int taken = 0;
  std::string_view rest = pending_;
  while (const std::size_t length = EventLength(rest)) {
    const std::string_view event = rest.substr(0, length);
    rest.remove_prefix(length);
    const auto id = EventId(event);
    if (awaits_next_ && !IsNext(event, id)) {
      out_of_sequence_ = true;
      break;
    }
    if (id && last_event_ && *id <= *last_event_) {
      continue;
    }
    OnTaken(event, id);
    out += event;
    ++taken;
  }
  pending_.erase(0, pending_.size() - rest.size());
  return taken;
}

}  // namespace jackdaw::serving
