#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Digest of a request by what a caller repeats of it: path, key and body.
std::uint64_t RequestDigest(std::string_view target,
                            std::string_view key,
                            std::string_view body);

/// One request and the times that a target's connection broke under it.
struct CrashCount {
  std::uint64_t digest = 0;
  int broken_connections = 0;
};

/// Remembers requests under which targets broke off without an answer, so
/// that one which crashes each target that runs it is not sent for ever.
class CrashTracker {
 public:
  /// The connection of a target broke while it ran the request.
  void OnConnectionBroken(std::uint64_t digest, Instant now);
  /// A target answered the request.
  void OnAnswered(std::uint64_t digest);
  /// Takes what another instance counted itself.
  void OnPeerCounts(std::string_view peer, std::vector<CrashCount> counts);
  /// Whether the request is not to be sent.
  /// @returns the moment at which it may be sent again, if it is barred
  bool IsBlocked(std::uint64_t digest, Instant now) const;
  /// OwnCounts counts for the other instances; those that may matter to them.
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
