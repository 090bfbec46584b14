#include "routing/prefix_history.h"

#include <algorithm>
#include <bit>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Time after which an entry no longer counts. It is short because engines'
// caches are small.
constexpr Micros kEntryLifetime = 60s;
// Consecutive slots in which an entry may be stored.
constexpr std::size_t kSlotsPerEntry = 4;

// Mixes a value into a hash, with the golden-ratio multiplier.
std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL;
  return hash ^ (hash >> 31);
}

// Hashes a text with FNV-1a.
std::uint64_t HashText(std::uint64_t hash, std::string_view text) {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return Mix(hash, text.size());
}

// Returns the key of an entry; never 0, which marks an empty slot.
std::uint64_t KeyOf(std::uint32_t target, std::uint64_t digest) {
  return Mix(digest, target + 1) | 1;
}

}  // namespace

PrefixChain ComputePrefixChain(std::string_view scope,
                               std::string_view prompt) {
  PrefixChain chain;
  // Starts at the FNV-1a offset basis.
  std::uint64_t hash = HashText(0xcbf29ce484222325ULL, scope);
  while (chain.count < kMaxPrefixBlocks && prompt.size() >= kPrefixBlockBytes) {
    hash = HashText(hash, prompt.substr(0, kPrefixBlockBytes));
    chain.digests[chain.count++] = hash;
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return chain;
}

PrefixHistory::PrefixHistory(std::size_t slots) : entries_(slots) {
  CheckInvariant(std::has_single_bit(slots),
                 "the number of slots must be a power of two");
}

std::size_t PrefixHistory::SlotOf(std::uint64_t key) const {
  return static_cast<std::size_t>(key >> 7) & (entries_.size() - 1);
}

void PrefixHistory::Put(Instant now, std::uint64_t key) {
  const std::size_t start = SlotOf(key);
  Entry* oldest = &entries_[start];
  for (std::size_t i = 0; i < kSlotsPerEntry; ++i) {
    Entry& entry = entries_[(start + i) & (entries_.size() - 1)];
    if (entry.key == key) {
      entry.last_seen = now;
      return;
    }
    if (entry.last_seen < oldest->last_seen) {
      oldest = &entry;
    }
  }
  *oldest = {key, now};
}

void PrefixHistory::OnDispatched(Instant now,
                                 std::uint32_t target,
                                 const PrefixChain& chain) {
  for (std::size_t i = 0; i < chain.count; ++i) {
    Put(now, KeyOf(target, chain.digests[i]));
  }
}

void PrefixHistory::OnCacheEvent(Instant now,
                                 std::uint32_t target,
                                 std::uint64_t digest,
                                 bool cached) {
  const std::uint64_t key = KeyOf(target, digest);
  if (cached) {
    Put(now, key);
    return;
  }
  const std::size_t start = SlotOf(key);
  for (std::size_t i = 0; i < kSlotsPerEntry; ++i) {
    Entry& entry = entries_[(start + i) & (entries_.size() - 1)];
    if (entry.key == key) {
      entry = Entry{};
    }
  }
}

void PrefixHistory::Forget(std::uint32_t target, Instant now) {
  if (forgotten_at_.size() <= target) {
    forgotten_at_.resize(target + 1);
  }
  forgotten_at_[target] = now;
}

std::int64_t PrefixHistory::CachedTokens(Instant now,
                                         std::uint32_t target,
                                         const PrefixChain& chain) const {
  const Instant since = std::max(
      now - kEntryLifetime,
      target < forgotten_at_.size() ? forgotten_at_[target] : Instant{});
  for (std::size_t count = chain.count; count > 0; --count) {
    const std::uint64_t key = KeyOf(target, chain.digests[count - 1]);
    const std::size_t start = SlotOf(key);
    for (std::size_t i = 0; i < kSlotsPerEntry; ++i) {
      const Entry& entry = entries_[(start + i) & (entries_.size() - 1)];
      if (entry.key == key && entry.last_seen > since) {
        return static_cast<std::int64_t>(count) * kPrefixBlockTokens;
      }
    }
  }
  return 0;
}

}  // namespace jackdaw
