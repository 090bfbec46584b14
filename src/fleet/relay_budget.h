#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace jackdaw::serving {

/// Bound of the bytes of rows that a leader relays to all its followers
/// together, so that its link stays free for callers and targets.
class RelayBudget {
 public:
  /// @param link_mbps the instance's link, in Mbit/s
  explicit RelayBudget(double link_mbps);

  /// Returns the bytes that may still be relayed in this round of heartbeats.
  /// @param round time in which each follower sends one heartbeat
  std::size_t Left(Instant now, Micros round);
  /// Bytes of a round in all.
  std::size_t OfRound(Micros round) const;
  /// Counts bytes that are sent.
  void Spend(std::size_t bytes);
  /// Bytes relayed since the start.
  std::uint64_t total() const { return total_; }

 private:
  double bytes_per_s_;
  Instant round_end_{};
  std::size_t left_ = 0;
  std::uint64_t total_ = 0;
};

}  // namespace jackdaw::serving
