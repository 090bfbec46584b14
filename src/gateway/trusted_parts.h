#pragma once

#include <cstdint>
#include <unordered_map>

#include "core/time.h"

namespace jackdaw::serving {

/// Prompt parts with which targets have answered requests lately. A part that
/// crashes each target is not answered, so a request with only such parts may
/// be sent again at once after a crash. The trust ends with time, or after
/// several crashes without an answer in between.
class TrustedParts {
 public:
  /// Records that a request with the part was answered completely.
  void OnAnswer(std::uint64_t part, Instant now);
  /// Holds a crash against a trusted part.
  /// @param target digest of the crashed target
  void OnCrash(std::uint64_t part, std::uint64_t target);
  /// Returns whether the part is trusted now.
  bool Contains(std::uint64_t part, Instant now) const;
  /// Returns whether a request with the part was answered after `since`.
  bool AnsweredSince(std::uint64_t part, Instant since) const;

 private:
  struct Trust {
    Instant answered_at{};
    int crashes = 0;
    std::uint64_t last_crashed = 0;
  };
  const Trust* Find(std::uint64_t part) const;

  using Generation = std::unordered_map<std::uint64_t, Trust>;

  /// Recent answers. When it is full, it becomes the older generation.
  Generation recent_;
  Generation older_;
};

}  // namespace jackdaw::serving
