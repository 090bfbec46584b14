#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace jackdaw::serving {

/// Version of the row that says how long a target goes on to be cold.
struct ColdVersion {
  std::int64_t epoch = -1;
  std::int64_t number = -1;

  // NOLINTNEXTLINE: the check for nullptr misreads the operator.
  auto operator<=>(const ColdVersion&) const = default;
};

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
  /// Time for which the target goes on to be cold, and the row that says so.
  Micros cold_remaining{};
  ColdVersion cold_version;
};

/// The limit of one incarnation of a target: the requests a second that it
/// takes from all instances together. The target names it in its responses, or
/// its service has one for the time in which a target is cold.
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
  /// Sets the time between two requests to the target while it is cold.
  /// @param interval 0 if targets of the service have no such limit
  void SetColdInterval(Micros interval) { cold_interval_ = interval; }
  /// Applies what a row says. An older one changes nothing. Of what is known of
  /// the same one, the earliest end counts: it was read with the least delay.
  void OnCold(const ColdVersion& version, Instant until, Instant now);
  /// Takes the target for cold, until a later row says otherwise.
  void MarkCold(Instant until, Instant now);
  /// Counts a request that was let through.
  void OnSent(Instant now);
  /// Forgets what was let through: another instance may have let the last one
  /// through just now.
  void Restart(Instant now);

  /// Whether the target names a limit.
  bool limited() const { return per_second_.has_value(); }
  bool cold(Instant now) const {
    return cold_interval_ > Micros(0) && now < cold_until();
  }
  Instant cold_until() const {
    return cold_until_ > marked_until_ ? cold_until_ : marked_until_;
  }
  const ColdVersion& cold_version() const { return cold_version_; }
  /// Whether the target has a limit for either reason.
  bool Applies(Instant now) const { return limited() || cold(now); }
  /// Whether a limit was named at any time.
  bool ever_limited() const { return ever_limited_; }
  std::optional<double> per_second() const { return per_second_; }
  /// Time of the newest response that was evaluated; zero if there is none.
  Instant learned_at() const { return learned_at_; }
  /// Whether a request may be let through now.
  bool Admits(Instant now) const {
    return !Applies(now) || now >= next_send_at_;
  }
  /// Returns a time at which a caller that is refused now may come back.
  /// Callers that are refused one after the other get different times.
  Instant NextReturn(Instant now);

 private:
  Micros Interval(Instant now) const;
  void Learn(std::optional<double> per_second, Instant at, Instant now);

  std::optional<double> per_second_;
  bool ever_limited_ = false;
  Micros cold_interval_{};
  ColdVersion cold_version_;
  Instant cold_until_{};
  Instant marked_until_{};
  Instant learned_at_{};
  /// Time from which on the next request may be let through.
  Instant next_send_at_{};
  /// Last time that was given to a refused caller.
  Instant last_return_at_{};
};

}  // namespace jackdaw::serving
