#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/invariant.h"

namespace jackdaw {

/// A world for long randomised histories: real decision code between small
/// fakes. It draws one step at a time from its seed, faults among them, and
/// checks its invariants after each.
/// @tparam T constructed from a seed and the name of a mutant, empty for none
template <typename T>
concept HistoryWorld = requires(T world,
                                std::uint64_t seed,
                                std::string_view mutant) {
  T(seed, mutant);
  { world.Step() } -> std::convertible_to<std::string>;
  world.Check();
};

/// What a history came to.
struct HistoryReport {
  std::uint64_t steps = 0;
  /// What broke; empty where every invariant held.
  std::string breach;
  /// Descriptions of the last steps before the breach.
  std::vector<std::string> tail;
};

/// Steps kept for the report of a breach.
inline constexpr std::size_t kHistoryTail = 40;

/// Runs a world for a number of steps or up to the first breach.
template <HistoryWorld World>
HistoryReport RunHistory(std::uint64_t seed,
                         std::uint64_t steps,
                         std::string_view mutant) {
  World world(seed, mutant);
  HistoryReport report;
  std::deque<std::string> tail;
  try {
    for (; report.steps < steps; ++report.steps) {
      tail.push_back(world.Step());
      if (tail.size() > kHistoryTail) {
        tail.pop_front();
      }
      world.Check();
    }
  } catch (const InvariantBreach& breach) {
    report.breach = breach.what();
    report.tail.assign(tail.begin(), tail.end());
  }
  return report;
}

/// A kind of history and the deliberate faults that it must catch.
struct HistoryKind {
  std::string_view name;
  HistoryReport (*run)(std::uint64_t seed,
                       std::uint64_t steps,
                       std::string_view mutant);
  std::span<const std::string_view> mutants;
};

/// All kinds of histories.
std::span<const HistoryKind> HistoryKinds();

}  // namespace jackdaw
