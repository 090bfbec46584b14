#pragma once

#include <cstdint>

namespace jackdaw {

/// Small deterministic generator (SplitMix64) for replay, benches and tests.
/// The same seed gives the same sequence on every machine.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  /// Number from 0 to `bound` - 1. @param bound greater than 0
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

  /// Number from 0 to 1, without 1.
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

  /// True once in `n` on average.
  bool OneIn(std::uint64_t n) { return Below(n) == 0; }

 private:
  std::uint64_t state_;
};

}  // namespace jackdaw
