#pragma once

#include <cstdint>
#include <tuple>

namespace jackdaw::serving {

/// Version of a table of the store. The store's counter goes back when the
/// store comes back from an older copy, which begins a new epoch.
struct TableVersion {
  /// Number of times that the store came back from an older copy.
  std::int64_t epoch = 0;
  /// Number of the newest transaction in this epoch.
  std::int64_t number = 0;

  bool operator==(const TableVersion&) const = default;
  bool operator<(const TableVersion& other) const {
    return std::tie(epoch, number) < std::tie(other.epoch, other.number);
  }
};

/// Returns the first number of a series of terms or epochs that continues in an
/// epoch of the store. It is higher than any that was given out before the
/// store came back, also of those that the store has lost.
constexpr std::int64_t FirstNumberOfEpoch(std::int64_t epoch) {
  constexpr std::int64_t kNumbersPerEpoch = 1'000'000;
  return epoch * kNumbersPerEpoch;
}

}  // namespace jackdaw::serving
