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
  /// Parts of the prompt that other requests may share.
  std::vector<std::uint64_t> parts = {};
  /// The crash has been held against the parts.
  bool parts_counted = false;
};

/// Decides which attempts without a complete response ended in a crash of the
/// target. A target has not crashed if a connection that was open at that time
/// still delivers bytes, or if the target answers soon after it ended the
/// connection, and it has left as planned if it was draining.
class CrashSuspects {
 public:
  void Add(CrashSuspect suspect);
  /// Removes the suspects of a request.
  void Remove(std::uint64_t digest);
  /// Clears a target from which bytes arrived.
  /// @param opened_at when their connection was opened
  void OnTargetBytes(const Target& target, Instant opened_at, Instant now);
  /// Clears a target that ended a connection and answers now. It must have
  /// checked that it is the target meant: a successor may have its address.
  void OnTargetAnswered(const Target& target, Instant now);
  /// Removes and returns the suspects whose target is now known to have
  /// crashed. Discards those whose target has left as planned.
  std::vector<CrashSuspect> TakeCrashes(Instant now);
  /// Returns the suspects whose target has been silent long enough to hold the
  /// crash against the parts, each of them once.
  std::vector<CrashSuspect> TakePartCrashes(Instant now);
  /// Returns whether a target ended the connection since a time while it ran
  /// the request.
  bool HasSuspectSince(std::uint64_t digest, Instant since) const;
  /// Returns the number of targets that ended the connection while they ran the
  /// request.
  int CountTargets(std::uint64_t digest) const;

 private:
  std::vector<CrashSuspect> suspects_;
};

}  // namespace jackdaw::serving
