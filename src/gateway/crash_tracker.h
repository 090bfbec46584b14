#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/crash_suspects.h"

namespace jackdaw::serving {

/// Returns a digest of the parts that stay the same when a caller repeats a
/// request: path, key and body.
std::uint64_t RequestDigest(std::string_view request_target,
                            std::string_view key,
                            std::string_view body);

/// A request, and how many targets crashed while they ran it.
struct CrashCount {
  std::uint64_t digest = 0;
  int crashes = 0;
};

/// Counts, per request, how many targets crashed while they ran it. A request
/// that crashes each target that runs it is blocked instead of being sent to
/// one target after another.
class CrashTracker {
 public:
  /// Records an attempt that ended without a complete response.
  void OnAttemptFailed(CrashSuspect suspect);
  /// Counts the suspects that are found to have crashed by now.
  /// @returns those suspects, for the log
  std::vector<CrashSuspect> CountCrashes(Instant now);
  /// Clears the count of a request that a target has answered.
  void OnAnswered(std::uint64_t digest);
  /// Replaces the counts that `peer` reported before.
  void OnPeerCounts(std::string_view peer, std::vector<CrashCount> counts);
  /// Returns whether the request must not be sent, by the sum of this
  /// instance's recent count and the counts of the peers.
  bool IsBlocked(std::uint64_t digest, Instant now) const;
  /// Returns the number of targets that crashed while they ran the request.
  int Crashes(std::uint64_t digest, Instant now) const;
  /// Returns this instance's recent counts, to be sent to the peers.
  std::vector<CrashCount> OwnCounts(Instant now) const;

 private:
  struct Entry {
    int crashes = 0;
    Instant last{};
  };

  void Count(std::uint64_t digest, Instant now);

  std::unordered_map<std::uint64_t, Entry> own_counts_;
  std::unordered_map<std::string, std::vector<CrashCount>> peer_counts_;
  CrashSuspects suspects_;
};

}  // namespace jackdaw::serving
