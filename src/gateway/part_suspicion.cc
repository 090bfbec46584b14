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
// A part with this many crashes is not excused by those of another one.
constexpr int kCertainCrashes = 5;
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

int Count(const PartSuspicion& suspicion) {
  return CountPartCrashes(suspicion.crashes);
}

bool ShareRequest(const PartSuspicion& a, const PartSuspicion& b) {
  return std::ranges::any_of(a.crashes, [&](const PartCrash& crash) {
    return std::ranges::find(b.crashes, crash.request, &PartCrash::request) !=
           b.crashes.end();
  });
}

// Returns the part with the most crashes that came with this one in a request,
// or 0.
std::uint64_t Partner(const PartSuspicion& suspicion,
                      std::span<const PartSuspicion* const> found) {
  const PartSuspicion* partner = nullptr;
  for (const PartSuspicion* other : found) {
    if (other != &suspicion && ShareRequest(suspicion, *other) &&
        (partner == nullptr || Count(*other) > Count(*partner))) {
      partner = other;
    }
  }
  return partner == nullptr ? 0 : partner->part;
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
    std::span<const PartSuspicion> suspicions) {
  std::vector<PartSuspicion> unexplained(suspicions.begin(), suspicions.end());
  std::vector<const PartSuspicion*> found;
  for (;;) {
    const auto worst = std::ranges::max_element(unexplained, {}, Count);
    if (worst == unexplained.end() || Count(*worst) < kMinCrashes) {
      break;
    }
    const int most = Count(*worst);
    const std::vector<PartCrash> explained = worst->crashes;
    for (std::size_t i = 0; i < unexplained.size(); ++i) {
      const int count = Count(unexplained[i]);
      const bool explains_too =
          count * kSimilarOf > most * kSimilar || count >= kCertainCrashes;
      std::erase_if(unexplained[i].crashes, [&](const PartCrash& crash) {
        return HasTarget(explained, crash.target);
      });
      if (explains_too && unexplained[i].crashes.empty()) {
        found.push_back(&suspicions[i]);
      }
    }
  }
  std::vector<CrashingPart> parts;
  parts.reserve(found.size());
  for (const PartSuspicion* suspicion : found) {
    parts.push_back({suspicion->part, Partner(*suspicion, found)});
  }
  return parts;
}

}  // namespace jackdaw::serving
