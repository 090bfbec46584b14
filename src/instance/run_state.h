#pragma once

#include <atomic>
#include <cstdint>

namespace jackdaw {

/// Progress of an instance from start to end; shared by its threads.
struct RunState {
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  /// Requests that still come are refused.
  std::atomic<bool> refuse_new{false};
  /// Requests that still run are ended.
  std::atomic<bool> end_requests{false};
  /// Latest moment, in milliseconds since the Unix epoch, until which a caller
  /// may keep the answer of /v1/entry.
  std::atomic<std::int64_t> entry_cached_until_ms{0};
  std::atomic<bool> store_reachable{false};
  std::atomic<std::uint64_t> in_flight{0};
  /// Start of the newest read that found the configuration in force to be the
  /// newest, in microseconds since the Unix epoch.
  std::atomic<std::int64_t> config_confirmed_us{0};
  /// Moment until which keys may be used on this view, in microseconds since
  /// the Unix epoch: some seconds after the last look for a newer one ended,
  /// with or without an answer. So an instance that was paused looks first.
  std::atomic<std::int64_t> keys_valid_until_us{0};
};

}  // namespace jackdaw
