#pragma once

#include <cstdint>
#include <vector>

#include "gateway/target_registry.h"

namespace jackdaw::serving {

/// An attempt that ended without a complete response. The target may have
/// crashed while it ran the request.
struct CrashSuspect {
  /// Digest of the request; see RequestDigest.
  std::uint64_t digest = 0;
  TargetPtr target;
  Instant sent_at{};
  Instant ended_at{};
  /// The target ended the connection. Otherwise the attempt was given up, and
  /// the target may still run the request.
  bool connection_ended = false;
};

/// Decides which attempts without a complete response ended in a crash of the
/// target. A target that sends bytes after the attempt ended has not crashed,
/// and one that was draining has left as planned.
class CrashSuspects {
 public:
  void Add(CrashSuspect suspect);
  /// Removes the suspects of a request. @returns whether there were any
  bool Remove(std::uint64_t digest);
  /// Removes and returns the suspects whose target is now known to have
  /// crashed. Discards those whose target is alive or has left as planned.
  std::vector<CrashSuspect> TakeCrashes(Instant now);
  /// Returns the number of targets whose connection ended while they ran the
  /// request and that have shown no life since.
  int CountSilentTargets(std::uint64_t digest) const;

 private:
  std::vector<CrashSuspect> suspects_;
};

}  // namespace jackdaw::serving
