#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "entry/event_scanner.h"

namespace jackdaw {

/// Assembles the stream that a caller gets from what one or more targets
/// send for its request. Pure. Each event must carry the request's id; one
/// event is one token, so that the events passed on are the offset at which
/// another target continues.
class StreamAssembler {
 public:
  /// @param request_id id that the targets were given
  explicit StreamAssembler(std::string request_id)
      : request_id_(std::move(request_id)) {}

  /// Takes in bytes of the current target. @returns bytes for the caller,
  /// whole events only
  std::string Feed(std::string_view bytes);

  /// Another target continues at `tokens()`; what is left of the former is
  /// dropped.
  void Restart();

  /// Tokens passed on.
  std::int64_t tokens() const { return tokens_; }
  /// Whether the explicit end was seen.
  bool done() const { return done_; }
  /// Whether the current target sent what is not this request's answer. The
  /// rest of it is dropped.
  bool crossed() const { return crossed_; }
  /// Whether the current target sent an event beyond the bound.
  bool overflowed() const { return scanner_.overflowed(); }

 private:
  void ProcessEvent(const std::string& event, std::string& out);

  std::string request_id_;
  EventScanner scanner_;
  std::int64_t tokens_ = 0;
  bool done_ = false;
  bool crossed_ = false;
};

/// Whether a JSON document is an object with this `id`.
bool HasRequestId(std::string_view document, std::string_view id);

}  // namespace jackdaw
