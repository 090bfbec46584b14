#include "gateway/rate_limit.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// A target that names a lower limit still gets requests at this rate, a second:
// only their responses tell the end of the limit.
constexpr double kMinRate = 0.1;
// Callers that are refused are not told to come back later than this.
constexpr Micros kMaxReturnDelay = 3s;

}  // namespace

// Returns the time between two requests. For a target that names no limit it is
// the cold one, also when the target is not cold: NextReturn spaces by it the
// callers that are refused for the bound of its service.
Micros RateLimit::Interval(Instant now) const {
  if (!limited() && cold_interval_ > Micros(0)) {
    return cold_interval_;
  }
  const double rate = std::max(kMinRate, per_second_.value_or(kMinRate));
  const Micros named(static_cast<std::int64_t>(1e6 / rate));
  return cold(now) ? std::max(named, cold_interval_) : named;
}

void RateLimit::Learn(std::optional<double> per_second,
                      Instant at,
                      Instant now) {
  if (at < learned_at_) {
    return;
  }
  const bool is_new = per_second.has_value() && !limited();
  per_second_ = per_second;
  learned_at_ = at;
  ever_limited_ = ever_limited_ || is_new;
  if (is_new) {
    Restart(now);
  }
}

void RateLimit::OnResponse(std::optional<double> per_second, Instant now) {
  Learn(per_second, now, now);
}

void RateLimit::OnReport(const RateLimitReport& report, Instant now) {
  Learn(report.per_second, now - report.age, now);
}

void RateLimit::OnCold(const ColdVersion& version, Instant until, Instant now) {
  if (version < cold_version_) {
    return;
  }
  const bool was_cold = cold(now);
  if (version == cold_version_) {
    cold_until_ = std::min(cold_until_, until);
  } else {
    cold_version_ = version;
    cold_until_ = until;
    marked_until_ = Instant{};
  }
  if (cold(now) && !was_cold) {
    Restart(now);
  }
}

void RateLimit::MarkCold(Instant until, Instant now) {
  const bool was_cold = cold(now);
  marked_until_ = std::max(marked_until_, until);
  if (cold(now) && !was_cold) {
    Restart(now);
  }
}

// To a cold target, a request may follow earlier by as much as the one before
// it was late: requests come at random times, and the bound of a second, which
// SendWindow keeps, would otherwise be used to about three quarters only.
void RateLimit::OnSent(Instant now) {
  if (!Applies(now)) {
    return;
  }
  const Micros late = limited() ? Micros(0) : Interval(now);
  next_send_at_ = std::max(now - late, next_send_at_) + Interval(now);
}

void RateLimit::Restart(Instant now) {
  next_send_at_ = std::max(next_send_at_, now + Interval(now));
}

Instant RateLimit::NextReturn(Instant now) {
  const Instant next =
      std::max({now, next_send_at_, last_return_at_ + Interval(now)});
  last_return_at_ = std::min(next, now + kMaxReturnDelay);
  return last_return_at_;
}

}  // namespace jackdaw::serving
