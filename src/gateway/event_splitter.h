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

  /// Discards the incomplete event of a broken stream. What is added from now
  /// on comes from another response, which continues the stream if its first
  /// event is the next one.
  void BeginContinuation();

  /// Returns whether a stream that breaks off now can be continued: the id of
  /// its last event tells another target where to go on.
  bool can_continue() const { return last_event_ && last_has_id_; }

  /// The response that is to continue the stream has begun with another event
  /// than the next one. No event of it is taken.
  bool out_of_sequence() const { return out_of_sequence_; }

  /// The response that is to continue the stream has not begun to do so.
  bool awaits_next() const { return awaits_next_; }

  /// Number of bytes of the incomplete event.
  std::size_t partial_bytes() const { return pending_.size(); }

  /// Returns the bytes after the last complete event of a stream that ended.
  std::string TakeRemainder() { return std::exchange(pending_, {}); }

  /// Id of the last event taken that has one.
  std::optional<std::int64_t> last_event() const { return last_event_; }

 private:
  bool IsNext(std::string_view event, std::optional<std::int64_t> id) const;
  void OnTaken(std::string_view event, std::optional<std::int64_t> id);

  std::string pending_;
  std::optional<std::int64_t> last_event_;
  /// The last event taken that has data has an id.
  bool last_has_id_ = false;
  /// Each id taken so far is the one before plus one.
  bool consecutive_ = true;
  bool awaits_next_ = false;
  bool out_of_sequence_ = false;
};

}  // namespace jackdaw::serving
