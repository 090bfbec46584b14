#pragma once

#include <atomic>
#include <cstdint>

namespace jackdaw {

/// Lifecycle state of an instance, from startup to the end of its drain.
/// Shared by all its threads.
struct RunState {
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  /// Whether new requests are refused.
  std::atomic<bool> refuse_new{false};
  /// Whether requests in flight must end with an error.
  std::atomic<bool> end_requests{false};
  /// Latest time until which a caller may cache an answer of /v1/entry, in
  /// milliseconds since the Unix epoch.
  std::atomic<std::int64_t> entry_cached_until_ms{0};
  std::atomic<bool> store_reachable{false};
  std::atomic<std::uint64_t> in_flight{0};
  /// Start of the latest read that confirmed the configuration in force as the
  /// newest one, in microseconds since the Unix epoch.
  std::atomic<std::int64_t> config_confirmed_us{0};
  /// Time until which keys may be used on the basis of the current view, in
  /// microseconds since the Unix epoch. It is kKeyValidity after the last poll
  /// of the configuration ended, with or without an answer, so that an instance
  /// whose process was paused polls before it accepts keys again.
  std::atomic<std::int64_t> keys_valid_until_us{0};
};

}  // namespace jackdaw
