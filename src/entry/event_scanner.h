#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdaw {

/// Maximum size of a server-sent event from a target, in bytes.
inline constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

/// Splits a byte stream into server-sent events. The result doesn't depend on
/// how the bytes are divided between calls of Feed.
class EventScanner {
 public:
  /// Appends bytes of the stream. @returns the events that are now complete,
  /// without the empty line that ends each
  std::vector<std::string> Feed(std::string_view bytes);

  /// Whether an event exceeded kMaxEventBytes. All later bytes are dropped.
  bool overflowed() const { return overflowed_; }

 private:
  std::string pending_;
  bool overflowed_ = false;
};

}  // namespace jackdaw
