#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdaw {

/// Largest server-sent event that is accepted from a target, in bytes.
inline constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

/// Splits a stream of server-sent events at event ends. Where the bytes are
/// split between two calls makes no difference to the events.
class EventScanner {
 public:
  /// Takes in bytes. @returns the events that are now complete, without the
  /// empty line that ends each
  std::vector<std::string> Feed(std::string_view bytes);

  /// Whether an event was larger than kMaxEventBytes; what follows is dropped.
  bool overflowed() const { return overflowed_; }

 private:
  std::string pending_;
  bool overflowed_ = false;
};

}  // namespace jackdaw
