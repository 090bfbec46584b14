#include "gateway/crash_tracker.h"

#include <functional>

namespace jackdaw::serving {
namespace {

// Crashed targets after which a request is no longer sent.
constexpr int kMaxCrashes = 3;
// Time for which crashes are counted after the last one.
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

void CrashTracker::OnAttemptFailed(CrashSuspect suspect) {
  suspects_.Add(std::move(suspect));
}

std::vector<CrashSuspect> CrashTracker::CountCrashes(Instant now) {
  std::vector<CrashSuspect> found = suspects_.TakeCrashes(now);
  for (const CrashSuspect& suspect : found) {
    Count(suspect.digest, now);
  }
  return found;
}

void CrashTracker::Count(std::uint64_t digest, Instant now) {
  if (own_counts_.size() >= kMaxEntries) {
    std::erase_if(own_counts_, [&](const auto& item) {
      return now - item.second.last > kRetention || item.second.crashes < 2;
    });
  }
  Entry& entry = own_counts_[digest];
  if (now - entry.last > kRetention) {
    entry.crashes = 0;
  }
  ++entry.crashes;
  entry.last = now;
}

void CrashTracker::OnAnswered(std::uint64_t digest) {
  suspects_.Remove(digest);
  own_counts_.erase(digest);
}

void CrashTracker::OnPeerCounts(std::string_view peer,
                                std::vector<CrashCount> counts) {
  peer_counts_[std::string(peer)] = std::move(counts);
}

int CrashTracker::Crashes(std::uint64_t digest, Instant now) const {
  int crashes = suspects_.CountSilentTargets(digest);
  const auto own = own_counts_.find(digest);
  if (own != own_counts_.end() && now - own->second.last <= kRetention) {
    crashes += own->second.crashes;
  }
  for (const auto& [peer, counts] : peer_counts_) {
    for (const CrashCount& count : counts) {
      crashes += count.digest == digest ? count.crashes : 0;
    }
  }
  return crashes;
}

bool CrashTracker::IsBlocked(std::uint64_t digest, Instant now) const {
  return Crashes(digest, now) >= kMaxCrashes;
}

std::vector<CrashCount> CrashTracker::OwnCounts(Instant now) const {
  std::vector<CrashCount> counts;
  for (const auto& [digest, entry] : own_counts_) {
    if (now - entry.last <= kRetention && counts.size() < kMaxSharedCounts) {
      counts.push_back({digest, entry.crashes});
    }
  }
  return counts;
}

}  // namespace jackdaw::serving
