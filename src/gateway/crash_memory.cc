#include "gateway/crash_memory.h"

#include <functional>

namespace jackdaw::serving {
namespace {

// Breaks after which a request is no longer sent.
constexpr int kMostBreaks = 3;
// Time for which a break counts.
constexpr Micros kRemembered = 60s;
// Requests remembered.
constexpr std::size_t kMostEntries = 2048;
// Counts told to the other instances.
constexpr std::size_t kMostTold = 64;

}  // namespace

std::uint64_t RequestDigest(std::string_view target,
                            std::string_view key,
                            std::string_view body) {
  const std::hash<std::string_view> hash;
  std::uint64_t digest = hash(target);
  digest = digest * 0x9e3779b97f4a7c15ULL + hash(key);
  return digest * 0x9e3779b97f4a7c15ULL + hash(body);
}

void CrashMemory::OnBroken(std::uint64_t digest, Instant now) {
  if (own_.size() >= kMostEntries) {
    std::erase_if(own_, [&](const auto& item) {
      return now - item.second.last > kRemembered || item.second.breaks < 2;
    });
  }
  Entry& entry = own_[digest];
  if (now - entry.last > kRemembered) {
    entry.breaks = 0;
  }
  ++entry.breaks;
  entry.last = now;
}

void CrashMemory::OnAnswered(std::uint64_t digest) {
  own_.erase(digest);
}

void CrashMemory::OnPeerCounts(std::string_view peer,
                               std::vector<CrashCount> counts) {
  peers_[std::string(peer)] = std::move(counts);
}

bool CrashMemory::Barred(std::uint64_t digest, Instant now) const {
  int breaks = 0;
  const auto own = own_.find(digest);
  if (own != own_.end() && now - own->second.last <= kRemembered) {
    breaks += own->second.breaks;
  }
  for (const auto& [peer, counts] : peers_) {
    for (const CrashCount& count : counts) {
      breaks += count.digest == digest ? count.breaks : 0;
    }
  }
  return breaks >= kMostBreaks;
}

std::vector<CrashCount> CrashMemory::Own(Instant now) const {
  std::vector<CrashCount> counts;
  for (const auto& [digest, entry] : own_) {
    if (now - entry.last <= kRemembered && counts.size() < kMostTold) {
      counts.push_back({digest, entry.breaks});
    }
  }
  return counts;
}

}  // namespace jackdaw::serving
