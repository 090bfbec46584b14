#pragma once

#include <cstdint>

namespace jackdaw::serving {

/// Calls to the store by reason, and what was relayed instead, since startup.
struct RelayCounters {
  /// Calls that waited for changes while the instance led, and while it did
  /// not.
  std::uint64_t watch_as_leader = 0;
  std::uint64_t watch_as_follower = 0;
  /// Pages of snapshots of the tables that are watched.
  std::uint64_t snapshot = 0;
  /// Reads and writes of the fleet's own rows.
  std::uint64_t rows = 0;
  /// Bytes of rows relayed to followers.
  std::uint64_t relayed_bytes = 0;
  /// Replies in which followers were told to read a table from the store.
  std::uint64_t referrals_sent = 0;
  /// Replies that told this instance so.
  std::uint64_t referrals_received = 0;
};

}  // namespace jackdaw::serving
