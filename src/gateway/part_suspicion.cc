#include "gateway/part_suspicion.h"

#include <algorithm>
#include <compare>

namespace jackdaw::serving {
namespace {

// Crashes from which on a part is blocked.
constexpr int kMinCrashes = 3;
// Crashes that count while all of them ran the same request.
constexpr int kMaxCrashesOfOneRequest = 2;
// Targets that crash within this time have a common cause.
constexpr Micros kSameMoment = 50ms;

bool SameRequest(std::span<const PartCrash> crashes) {
  return std::ranges::all_of(crashes, [&](const PartCrash& crash) {
    return crash.request == crashes.front().request;
  });
}

bool HasTarget(std::span<const PartCrash> crashes, std::uint64_t target) {
  return std::ranges::find(crashes, target, &PartCrash::target) !=
         crashes.end();
}

// How much speaks against a part.
struct PartWeight {
  int counted = 0;
  std::size_t all = 0;
  auto operator<=>(const PartWeight&) const = default;
};

PartWeight Weight(const PartSuspicion& suspicion) {
  return {CountPartCrashes(suspicion.crashes), suspicion.crashes.size()};
}

}  // namespace

int CountPartCrashes(std::span<const PartCrash> crashes) {
  std::vector<PartCrash> sorted(crashes.begin(), crashes.end());
  std::ranges::sort(sorted, {}, &PartCrash::at);
  std::vector<std::uint64_t> counted;
  Instant last{};
  for (const PartCrash& crash : sorted) {
    const bool known =
        std::ranges::find(counted, crash.target) != counted.end();
    if (!known && (counted.empty() || crash.at - last > kSameMoment)) {
      counted.push_back(crash.target);
      last = crash.at;
    }
  }
  const int count = static_cast<int>(counted.size());
  return SameRequest(crashes) ? std::min(count, kMaxCrashesOfOneRequest)
                              : count;
}

std::vector<std::uint64_t> FindCrashingParts(
    std::vector<PartSuspicion> suspicions) {
  std::vector<std::uint64_t> blocked;
  for (;;) {
    const auto worst = std::ranges::max_element(suspicions, {}, Weight);
    if (worst == suspicions.end() ||
        CountPartCrashes(worst->crashes) < kMinCrashes) {
      return blocked;
    }
    const PartWeight worst_weight = Weight(*worst);
    const std::vector<PartCrash> explained = worst->crashes;
    for (PartSuspicion& suspicion : suspicions) {
      const PartWeight weight = Weight(suspicion);
      const auto unexplained = std::ranges::remove_if(
          suspicion.crashes, [&](const PartCrash& crash) {
            return HasTarget(explained, crash.target);
          });
      suspicion.crashes.erase(unexplained.begin(), unexplained.end());
      // The crashes cannot tell this part from the worst one.
      if (weight == worst_weight && suspicion.crashes.empty()) {
        blocked.push_back(suspicion.part);
      }
    }
  }
}

}  // namespace jackdaw::serving
