#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "entry/event_scanner.h"

namespace jackdaw {

/// Assembles the stream for a caller from the streams of one or more targets
/// that serve its request in turn. Does no I/O. Each event must carry the
/// request id. One event is one token, so the number of forwarded events is the
/// offset at which another target continues.
class StreamAssembler {
 public:
  /// @param request_id id that was sent to the targets
  explicit StreamAssembler(std::string request_id)
      : request_id_(std::move(request_id)) {}

  /// Appends bytes from the current target. @returns the bytes to forward to
  /// the caller; complete events only
  std::string Feed(std::string_view bytes);

  /// Prepares for another target, which continues at `tokens()`. Drops an
  /// incomplete event of the previous target.
  void Restart();

  /// Number of tokens forwarded.
  std::int64_t tokens() const { return tokens_; }
  /// Whether the explicit end of the stream was received.
  bool done() const { return done_; }
  /// Whether the current target sent an event of another request, or one that
  /// isn't valid. The rest of its stream is dropped.
  bool crossed() const { return crossed_; }
  /// Whether the current target sent an event larger than kMaxEventBytes.
  bool overflowed() const { return scanner_.overflowed(); }

 private:
  void ProcessEvent(const std::string& event, std::string& out);

  std::string request_id_;
  EventScanner scanner_;
  std::int64_t tokens_ = 0;
  bool done_ = false;
  bool crossed_ = false;
};

/// Whether a JSON document is an object whose member `id` equals `id`.
bool HasRequestId(std::string_view document, std::string_view id);

}  // namespace jackdaw
