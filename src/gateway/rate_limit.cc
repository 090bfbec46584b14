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

Micros RateLimit::Interval() const {
  const double rate = std::max(kMinRate, per_second_.value_or(kMinRate));
  return Micros(static_cast<std::int64_t>(1e6 / rate));
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

void RateLimit::OnSent(Instant now) {
  if (limited()) {
    next_send_at_ = std::max(now, next_send_at_) + Interval();
  }
}

void RateLimit::Restart(Instant now) {
  next_send_at_ = std::max(next_send_at_, now + Interval());
}

Instant RateLimit::NextReturn(Instant now) {
  const Instant next =
      std::max({now, next_send_at_, last_return_at_ + Interval()});
  last_return_at_ = std::min(next, now + kMaxReturnDelay);
  return last_return_at_;
}

}  // namespace jackdaw::serving
