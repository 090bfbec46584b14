#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Prompt bytes per block of a prefix chain.
inline constexpr std::size_t kPrefixBlockBytes = 1024;
/// Maximum number of blocks in a chain.
inline constexpr std::size_t kMaxPrefixBlocks = 8;
/// Prompt tokens per block, estimated at 4 bytes per token.
inline constexpr std::int64_t kPrefixBlockTokens = kPrefixBlockBytes / 4;

/// Cumulative digests of a prompt: digests[i] covers its first i + 1 blocks.
struct PrefixChain {
  std::array<std::uint64_t, kMaxPrefixBlocks> digests{};
  std::size_t count = 0;
};

/// Computes the chain of a prompt, without a last block that is not full.
/// @param scope text that separates prefixes which caches do not share, such
/// as the name of the model
PrefixChain ComputePrefixChain(std::string_view scope, std::string_view prompt);

/// Tracks which targets probably hold which prompt prefixes in their caches,
/// from this instance's dispatches and the engines' cache events. The size is
/// bounded: a new entry replaces the oldest of the few slots that its key may
/// use, as newer prefixes replace older ones in the caches themselves.
class PrefixHistory {
 public:
  /// @param slots maximum number of entries, a power of two
  explicit PrefixHistory(std::size_t slots);

  void OnDispatched(Instant now,
                    std::uint32_t target,
                    const PrefixChain& chain);
  /// Records that an engine cached or evicted a prefix.
  void OnCacheEvent(Instant now,
                    std::uint32_t target,
                    std::uint64_t digest,
                    bool cached);
  /// Invalidates all entries of a target that restarted or whose cache events
  /// were lost.
  void Forget(std::uint32_t target, Instant now);

  /// Returns the number of prompt tokens of the chain that are probably in the
  /// target's cache.
  std::int64_t CachedTokens(Instant now,
                            std::uint32_t target,
                            const PrefixChain& chain) const;

 private:
  struct Entry {
    std::uint64_t key = 0;
    Instant last_seen{};
  };

  std::size_t SlotOf(std::uint64_t key) const;
  void Put(Instant now, std::uint64_t key);

  std::vector<Entry> entries_;
  std::vector<Instant> forgotten_at_;
};

}  // namespace jackdaw
