#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jackdaw::serving {

/// The newest ids of requests that were added, as digests.
class RecentIds {
 public:
  bool Contains(std::string_view id) const {
    return std::ranges::find(digests_, Digest(id)) != digests_.end();
  }
  /// Adds an id, in place of the oldest one if there are too many.
  void Add(std::string_view id) {
    if (digests_.size() < kMaxIds) {
      digests_.push_back(Digest(id));
      return;
    }
    digests_[oldest_] = Digest(id);
    oldest_ = (oldest_ + 1) % kMaxIds;
  }

 private:
  static constexpr std::size_t kMaxIds = 32;

  static std::uint64_t Digest(std::string_view id) {
    return XXH3_64bits(id.data(), id.size());
  }

  std::vector<std::uint64_t> digests_;
  std::size_t oldest_ = 0;
};

}  // namespace jackdaw::serving
