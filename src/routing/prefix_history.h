#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Prompt bytes that one link of a prefix chain covers.
inline constexpr std::size_t kPrefixBlockBytes = 1024;
/// Most links of a chain.
inline constexpr std::size_t kMaxPrefixBlocks = 8;
/// Prompt tokens that one block stands for.
inline constexpr std::int64_t kPrefixBlockTokens = kPrefixBlockBytes / 4;

/// Digests of the first, the first two, ... blocks of a prompt.
struct PrefixChain {
  std::array<std::uint64_t, kMaxPrefixBlocks> digests{};
  std::size_t count = 0;
};

/// Computes the chain of a prompt; blocks that are not full are left out.
/// @param scope text that caches do not share beyond, such as the model
PrefixChain ComputePrefixChain(std::string_view scope, std::string_view prompt);

/// Remembers which targets hold which prompt prefixes: from own dispatches and
/// from engines' cache events. Bounded; newer entries push out older ones, as
/// in the caches that it follows.
class PrefixHistory {
 public:
  /// @param slots entries kept, a power of two
  explicit PrefixHistory(std::size_t slots);

  void OnDispatched(Instant now,
                    std::uint32_t target,
                    const PrefixChain& chain);
  /// An engine told that it has cached or evicted a prefix.
  void OnCacheEvent(Instant now,
                    std::uint32_t target,
                    std::uint64_t digest,
                    bool cached);
  /// Events of the target were lost, or it restarted: what is known of it no
  /// longer counts.
  void Forget(std::uint32_t target, Instant now);

  /// Prompt tokens of the chain that the target probably holds.
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
