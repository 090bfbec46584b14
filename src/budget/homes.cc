#include "budget/homes.h"

#include <algorithm>
#include <utility>

namespace jackdaw {
namespace {

// Typical requests for which each home can hold the tokens.
constexpr std::int64_t kRequestsPerHome = 2;

// FNV-1a with a final mix. All processes must compute the same hashes.
std::uint64_t HashOf(std::string_view a, std::string_view b) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const std::string_view part : {a, std::string_view("\n"), b}) {
    for (const char c : part) {
      hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
  }
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

}  // namespace

std::size_t HomeCount(std::int64_t burst,
                      std::int64_t request_tokens,
                      std::size_t most) {
  const std::int64_t room =
      burst / std::max<std::int64_t>(1, kRequestsPerHome * request_tokens);
  return std::min(static_cast<std::size_t>(std::max<std::int64_t>(1, room)),
                  most);
}

std::vector<std::string> HomesOf(std::string_view workspace,
                                 const std::vector<InstanceEntry>& instances,
                                 std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  ranked.reserve(instances.size());
  for (const auto& instance : instances) {
    if (instance.state == InstanceState::kLive) {
      ranked.emplace_back(HashOf(workspace, instance.name), instance.name);
    }
  }
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::string> homes;
  homes.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    homes.emplace_back(ranked[i].second);
  }
  return homes;
}

}  // namespace jackdaw
