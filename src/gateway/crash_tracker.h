#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Returns a digest of the parts that stay the same when a caller repeats a
/// request: path, key and body.
std::uint64_t RequestDigest(std::string_view request_target,
                            std::string_view key,
                            std::string_view body);

/// A request, and how often a connection broke while the target ran it.
struct CrashCount {
  std::uint64_t digest = 0;
  int broken_connections = 0;
};

/// Counts, per request, how often the connection to a target broke before the
/// response was complete. A request that crashes each target that runs it is
/// blocked instead of being sent to one target after another.
class CrashTracker {
 public:
  /// Records that the connection to a target broke while it ran the request.
  void OnConnectionBroken(std::uint64_t digest, Instant now);
  /// Clears the count of a request that a target has answered.
  void OnAnswered(std::uint64_t digest);
  /// Replaces the counts that `peer` reported before.
  void OnPeerCounts(std::string_view peer, std::vector<CrashCount> counts);
  /// Returns whether the request must not be sent, by the sum of this
  /// instance's recent count and the counts of the peers.
  bool IsBlocked(std::uint64_t digest, Instant now) const;
  /// Returns this instance's recent counts, to be sent to the peers.
  std::vector<CrashCount> OwnCounts(Instant now) const;

 private:
  struct Entry {
    int broken_connections = 0;
    Instant last{};
  };

  std::unordered_map<std::uint64_t, Entry> own_counts_;
  std::unordered_map<std::string, std::vector<CrashCount>> peer_counts_;
};

}  // namespace jackdaw::serving
