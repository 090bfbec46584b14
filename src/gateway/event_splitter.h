#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::serving {

/// Cuts the bytes of an event stream into whole events. A rest that is not a
/// whole event is never handed on, so a stream can go on elsewhere after it.
class EventSplitter {
 public:
  /// Adds bytes as they came.
  void Add(std::string_view bytes) { pending_ += bytes; }

  /// Moves the whole events that are new to the caller to the end of `out`.
  /// Events up to the last one that was handed on are dropped.
  /// @returns the number of events that were moved
  int TakeCompleteEvents(std::string& out);

  /// Forgets the rest of a broken stream; the next one begins a new event.
  void DropPartialEvent() { pending_.clear(); }

  /// Hands over what follows the last whole event of a stream that ended.
  std::string TakeRemainder() { return std::exchange(pending_, {}); }

  /// Id of the last event that was handed on.
  std::optional<std::int64_t> last_event() const { return last_event_; }
  void set_last_event(std::optional<std::int64_t> id) { last_event_ = id; }

 private:
  std::string pending_;
  std::optional<std::int64_t> last_event_;
};

}  // namespace jackdaw::serving
