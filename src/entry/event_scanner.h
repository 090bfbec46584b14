#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jackdaw {

/// Splits a stream of server-sent events at event ends, so that only whole
/// events are passed on, and notes the explicit end of the stream.
class EventScanner {
 public:
  /// Takes in bytes. @returns the whole events that are now complete
  std::string Feed(std::string_view bytes);

  /// Data events seen, without the final `[DONE]`.
  std::int64_t events() const { return events_; }
  /// Whether `data: [DONE]` was seen.
  bool done() const { return done_; }

 private:
  std::string rest_;
  std::int64_t events_ = 0;
  bool done_ = false;
};

}  // namespace jackdaw
