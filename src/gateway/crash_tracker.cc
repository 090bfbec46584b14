#include "gateway/crash_tracker.h"

#include <functional>

namespace jackdaw::serving {
namespace {

// Broken connections after which a request is no longer sent.
constexpr int kMaxBrokenConnections = 3;
// Time for which broken connections are counted after the last one.
constexpr Micros kRetention = 60s;
// Tracked requests; at this number, expired counts and counts of 1 are removed.
constexpr std::size_t kMaxEntries = 2048;
// Counts sent to the peers, at most.
constexpr std::size_t kMaxSharedCounts = 64;

}  // namespace

std::uint64_t RequestDigest(std::string_view request_target,
                            std::string_view key,
                            std::string_view body) {
  const std::hash<std::string_view> hash;
  std::uint64_t digest = hash(request_target);
  digest = digest * 0x9e3779b97f4a7c15ULL + hash(key);
  return digest * 0x9e3779b97f4a7c15ULL + hash(body);
}

void CrashTracker::OnConnectionBroken(std::uint64_t digest, Instant now) {
  if (own_counts_.size() >= kMaxEntries) {
    std::erase_if(own_counts_, [&](const auto& item) {
      return now - item.second.last > kRetention ||
             item.second.broken_connections < 2;
    });
  }
  Entry& entry = own_counts_[digest];
  if (now - entry.last > kRetention) {
    entry.broken_connections = 0;
  }
  ++entry.broken_connections;
  entry.last = now;
}

void CrashTracker::OnAnswered(std::uint64_t digest) {
  own_counts_.erase(digest);
}

void CrashTracker::OnPeerCounts(std::string_view peer,
                                std::vector<CrashCount> counts) {
  peer_counts_[std::string(peer)] = std::move(counts);
}

bool CrashTracker::IsBlocked(std::uint64_t digest, Instant now) const {
  int broken_connections = 0;
  const auto own = own_counts_.find(digest);
  if (own != own_counts_.end() && now - own->second.last <= kRetention) {
    broken_connections += own->second.broken_connections;
  }
  for (const auto& [peer, counts] : peer_counts_) {
    for (const CrashCount& count : counts) {
      broken_connections +=
          count.digest == digest ? count.broken_connections : 0;
    }
  }
  return broken_connections >= kMaxBrokenConnections;
}

std::vector<CrashCount> CrashTracker::OwnCounts(Instant now) const {
  std::vector<CrashCount> counts;
  for (const auto& [digest, entry] : own_counts_) {
    if (now - entry.last <= kRetention && counts.size() < kMaxSharedCounts) {
      counts.push_back({digest, entry.broken_connections});
    }
  }
  return counts;
}

}  // namespace jackdaw::serving
