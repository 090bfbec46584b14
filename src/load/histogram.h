#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace jackdaw {

/// Buckets for each power of two, as a power of two.
inline constexpr int kHistogramSubBits = 5;
inline constexpr std::size_t kHistogramSub = std::size_t{1}
                                             << kHistogramSubBits;
inline constexpr std::size_t kHistogramBuckets = kHistogramSub * 48;

/// Bucket that a value falls into.
constexpr std::size_t BucketOf(std::uint64_t value) {
  if (value < kHistogramSub) {
    return value;
  }
  const auto shift =
      static_cast<std::size_t>(std::bit_width(value) - 1 - kHistogramSubBits);
  const std::size_t bucket = (shift + 1) * kHistogramSub +
                             static_cast<std::size_t>(value >> shift) -
                             kHistogramSub;
  return bucket < kHistogramBuckets ? bucket : kHistogramBuckets - 1;
}

/// Largest value of a bucket.
constexpr std::uint64_t BucketEnd(std::size_t bucket) {
  if (bucket < kHistogramSub) {
    return bucket;
  }
  const std::size_t shift = bucket / kHistogramSub - 1;
  return ((kHistogramSub + bucket % kHistogramSub + 1) << shift) - 1;
}

static_assert(BucketOf(kHistogramSub - 1) + 1 == BucketOf(kHistogramSub));
static_assert(BucketEnd(BucketOf(1'000'000)) >= 1'000'000);

/// Log-linear histogram of microseconds: 32 buckets for each power of two, so
/// that a percentile is off by at most about 3%.
class Histogram {
 public:
  /// @param micros value; negative ones count as 0
  void Add(std::int64_t micros) {
    const auto value = static_cast<std::uint64_t>(micros < 0 ? 0 : micros);
    ++counts_[BucketOf(value)];
    ++total_;
    max_ = value > max_ ? value : max_;
  }

  /// Takes in the values of another histogram.
  void Merge(const Histogram& other) {
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      counts_[i] += other.counts_[i];
    }
    total_ += other.total_;
    max_ = other.max_ > max_ ? other.max_ : max_;
  }

  /// Value below which a part of all values lies. @param part from 0 to 1
  /// @returns microseconds; 0 where there are no values
  std::int64_t Percentile(double part) const {
    const auto wanted =
        static_cast<std::uint64_t>(part * static_cast<double>(total_));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      seen += counts_[i];
      if (seen > wanted) {
        return static_cast<std::int64_t>(BucketEnd(i));
      }
    }
    return static_cast<std::int64_t>(max_);
  }

  /// Part of all values that are at most `micros`; 1 where there are none.
  double PartWithin(std::int64_t micros) const {
    const std::size_t last = BucketOf(static_cast<std::uint64_t>(micros));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i <= last; ++i) {
      seen += counts_[i];
    }
    return total_ == 0
               ? 1.0
               : static_cast<double>(seen) / static_cast<double>(total_);
  }

  std::uint64_t total() const { return total_; }
  std::int64_t max() const { return static_cast<std::int64_t>(max_); }

 private:
  std::array<std::uint64_t, kHistogramBuckets> counts_{};
  std::uint64_t total_ = 0;
  std::uint64_t max_ = 0;
};

}  // namespace jackdaw
