#include "gateway/wait_memory.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Differences below this come from the way to the instance.
constexpr Micros kLeastWaited = 150ms;

}  // namespace

Micros WaitMemory::OnRequest(std::string_view route, Micros wait) {
  Micros& longest = longest_[std::string(route)];
  longest = std::max(longest, wait);
  const Micros waited = longest - wait;
  return waited < kLeastWaited ? Micros(0) : waited;
}

}  // namespace jackdaw::serving
