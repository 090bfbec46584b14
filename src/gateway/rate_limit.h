#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace jackdaw::serving {

/// What an instance knows of a target's limit, for other instances.
struct RateLimitReport {
  /// Digest of the target's id; see TargetDigest.
  std::uint64_t target = 0;
  /// Start of the target's incarnation.
  std::int64_t born_ms = 0;
  /// Requests a second, or nothing if the target names no limit any more.
  std::optional<double> per_second;
  /// Age of the response that said so.
  Micros age{};
};

/// The limit that one incarnation of a target names in its responses: the
/// requests a second that it takes from all instances together.
///
/// Only one instance, the leader, lets requests through to a limited target:
/// its own, and those of the instances that ask it. The limit then holds over
/// the fleet, however many instances there are.
class RateLimit {
 public:
  /// Applies a response.
  /// @param per_second the limit; nothing if the response names none
  void OnResponse(std::optional<double> per_second, Instant now);
  /// Applies what another instance knows, unless this one knows better.
  void OnReport(const RateLimitReport& report, Instant now);
  /// Counts a request that was let through.
  void OnSent(Instant now);
  /// Forgets what was let through: another instance may have let the last one
  /// through just now.
  void Restart(Instant now);

  bool limited() const { return per_second_.has_value(); }
  /// Whether a limit was named at any time.
  bool ever_limited() const { return ever_limited_; }
  std::optional<double> per_second() const { return per_second_; }
  /// Time of the newest response that was evaluated; zero if there is none.
  Instant learned_at() const { return learned_at_; }
  /// Whether a request may be let through now.
  bool Admits(Instant now) const { return !limited() || now >= next_send_at_; }
  /// Returns a time at which a caller that is refused now may come back.
  /// Callers that are refused one after the other get different times.
  Instant NextReturn(Instant now);

 private:
  Micros Interval() const;
  void Learn(std::optional<double> per_second, Instant at, Instant now);

  std::optional<double> per_second_;
  bool ever_limited_ = false;
  Instant learned_at_{};
  /// Time from which on the next request may be let through.
  Instant next_send_at_{};
  /// Last time that was given to a refused caller.
  Instant last_return_at_{};
};

}  // namespace jackdaw::serving
