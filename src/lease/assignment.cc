#include "lease/assignment.h"

#include <algorithm>
#include <cstdint>

#include "core/random.h"

namespace jackdaw {
namespace {

// FNV-1a.
std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return hash;
}

}  // namespace

std::vector<int> AssignTargets(std::span<const std::string> targets,
                               std::span<const std::string> instances) {
  std::vector<int> owners(targets.size(), -1);
  if (instances.empty()) {
    return owners;
  }
  const std::size_t bound =
      (targets.size() + instances.size() - 1) / instances.size();
  std::vector<std::uint64_t> hashes;
  for (const auto& name : instances) {
    hashes.push_back(HashOf(name));
  }
  std::vector<std::size_t> load(instances.size(), 0);
  for (std::size_t t = 0; t < targets.size(); ++t) {
    const std::uint64_t hash = HashOf(targets[t]);
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      const std::uint64_t weight = Random(hash ^ hashes[i]).Next();
      if (load[i] < bound && (owners[t] < 0 || weight > best)) {
        owners[t] = static_cast<int>(i);
        best = weight;
      }
    }
    ++load[static_cast<std::size_t>(owners[t])];
  }
  return owners;
}

}  // namespace jackdaw
