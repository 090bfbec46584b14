#include "quota/quota_parts.h"

#include <xxhash.h>

#include <algorithm>

namespace jackdaw::serving {

std::size_t PoolOf(std::string_view workspace) {
  return XXH64(workspace.data(), workspace.size(), 0) % kQuotaPools;
}

std::size_t PartsOfPool(const PartSet& parts, std::size_t pool) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < kPartsPerPool; ++i) {
    count += parts.test(pool * kPartsPerPool + i) ? 1 : 0;
  }
  return count;
}

std::vector<std::size_t> RankHolders(std::size_t pool,
                                     std::span<const std::string> names) {
  struct Ranked {
    std::uint64_t weight;
    std::size_t index;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    ranked.push_back({XXH64(names[i].data(), names[i].size(), pool + 1), i});
  }
  const std::size_t count = std::min(kPartsPerPool, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(), [&](const Ranked& a, const Ranked& b) {
        return a.weight != b.weight ? a.weight > b.weight
                                    : names[a.index] < names[b.index];
      });
  std::vector<std::size_t> holders;
  for (std::size_t i = 0; i < count; ++i) {
    holders.push_back(ranked[i].index);
  }
  return holders;
}

}  // namespace jackdaw::serving
