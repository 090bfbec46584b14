#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::serving {

/// Splits the bytes of an event stream into events. An incomplete event is
/// never forwarded, so that another target can continue the stream after the
/// last complete one.
class EventSplitter {
 public:
  /// Appends bytes received from the target.
  void Add(std::string_view bytes) { pending_ += bytes; }

  /// Appends the complete events to `out`. Events with an id up to that of the
  /// last event taken before are dropped, since the caller has them already.
  /// @returns the number of events appended
  int TakeCompleteEvents(std::string& out);

  /// Discards the incomplete event of a broken stream; the stream that
  /// continues it starts with a new event.
  void DropPartialEvent() { pending_.clear(); }

  /// Number of bytes of the incomplete event.
  std::size_t partial_bytes() const { return pending_.size(); }

  /// Returns the bytes after the last complete event of a stream that ended.
  std::string TakeRemainder() { return std::exchange(pending_, {}); }

  /// Id of the last event taken that has one.
  std::optional<std::int64_t> last_event() const { return last_event_; }
  void set_last_event(std::optional<std::int64_t> id) { last_event_ = id; }

 private:
  std::string pending_;
  std::optional<std::int64_t> last_event_;
};

}  // namespace jackdaw::serving
