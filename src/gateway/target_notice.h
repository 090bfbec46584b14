#pragma once

#include <cstdint>

#include "core/time.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

/// A target that announced that it leaves, for other instances.
struct LeavingReport {
  /// Digest of the target's id; see TargetDigest.
  std::uint64_t target = 0;
  /// Start of the target's incarnation, in Unix milliseconds.
  std::int64_t born_ms = 0;
};

/// What one incarnation of a target has announced in its responses about the
/// requests that it still wants from this instance.
class TargetNotice {
 public:
  /// What a response has changed.
  struct Change {
    bool leaves = false;
    /// It rests from now on; not set if it did before.
    bool rests = false;
    /// The first announcement of this incarnation that could not be read.
    bool unreadable = false;
  };

  /// Applies the head of a response.
  Change OnResponse(const ResponseMetadata& response, Instant now);
  /// Another response of this incarnation has announced that it leaves.
  /// @returns false if that was known
  bool OnLeaving(Instant now);

  /// Whether the target announced that it leaves. A later response without the
  /// announcement does not take it back: it may have been sent earlier.
  bool leaving() const { return leaving_; }
  /// Whether the target wants no request from this instance now.
  bool Rests(Instant now) const { return now < rest_until_; }
  /// End of the longest rest that it has asked for; zero if there was none.
  Instant rest_until() const { return rest_until_; }
  /// Time at which this instance learned that the target leaves.
  Instant leaving_since() const { return leaving_since_; }

 private:
  bool leaving_ = false;
  Instant leaving_since_{};
  Instant rest_until_{};
  bool unreadable_seen_ = false;
};

}  // namespace jackdaw::serving
