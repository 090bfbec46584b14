#include "gateway/part_suspicion.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Crashes from which on a part is blocked.
constexpr int kMinCrashes = 3;
// Crashes that count while all of them ran the same request.
constexpr int kMaxCrashesOfOneRequest = 2;
// A part that was in more than this share of another one's crashes, kSimilar
// out of kSimilarOf, is not told apart from it: an instance may miss a crash.
constexpr int kSimilar = 3;
constexpr int kSimilarOf = 4;
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

std::vector<CrashingPart> FindCrashingParts(
    std::vector<PartSuspicion> suspicions) {
  const auto count = [](const PartSuspicion& suspicion) {
    return CountPartCrashes(suspicion.crashes);
  };
  std::vector<CrashingPart> found;
  for (;;) {
    const auto worst = std::ranges::max_element(suspicions, {}, count);
    if (worst == suspicions.end() || count(*worst) < kMinCrashes) {
      return found;
    }
    const int most = count(*worst);
    const std::vector<PartCrash> explained = worst->crashes;
    const std::size_t first = found.size();
    for (PartSuspicion& suspicion : suspicions) {
      const bool similar = count(suspicion) * kSimilarOf > most * kSimilar;
      std::erase_if(suspicion.crashes, [&](const PartCrash& crash) {
        return HasTarget(explained, crash.target);
      });
      if (similar && suspicion.crashes.empty()) {
        found.push_back({suspicion.part, 0});
      }
    }
    if (found.size() > first + 1) {
      const std::uint64_t group = found[first].part;
      for (std::size_t i = first; i < found.size(); ++i) {
        found[i].group = group;
      }
    }
  }
}

}  // namespace jackdaw::serving
