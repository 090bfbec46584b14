#include "gateway/load_forecast.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// A request that was sent later than this before a report may not have been at
// the target at the time of the report.
constexpr Micros kTransitTime = 4ms;
// Expected remaining time of a request that has outlived its expected end, as a
// share of the mean duration.
constexpr double kOverdueShare = 0.25;
// Time after its expected end for which a request of another instance still
// counts as holding memory. Outputs may be longer than expected.
constexpr Micros kMaxOverdue = 400ms;
// Weight of a new request in the means.
constexpr double kMeanWeight = 0.05;
// Mean duration of a request before the first one.
constexpr double kDefaultSeconds = 1;
// Time constant of the mean of the unknown requests, and that with which they
// are forgotten without reports.
constexpr double kUnknownMeanSeconds = 1;
constexpr double kUnknownFadeSeconds = 3;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

Micros FromSeconds(double seconds) {
  return Micros(static_cast<std::int64_t>(seconds * 1e6));
}

void AddToMean(double& mean, double value) {
  mean += mean == 0 ? value : kMeanWeight * (value - mean);
}

}  // namespace

Micros LoadForecast::OverdueTime() const {
  return FromSeconds(MeanSeconds() * kOverdueShare);
}

Instant LoadForecast::ExpectedEnd(const Request& request, Instant now) const {
  return request.end > now ? request.end : now + OverdueTime();
}

void LoadForecast::RemoveExpired(Instant now) {
  std::erase_if(requests_, [&](const Request& request) {
    return request.id == 0 && request.end + kMaxOverdue <= now;
  });
}

// Drops the request of another instance that ends first.
bool LoadForecast::DropOneOther() {
  const auto first = std::ranges::find(requests_, 0U, &Request::id);
  if (first == requests_.end()) {
    return false;
  }
  requests_.erase(first);
  return true;
}

void LoadForecast::Insert(const Request& request, Instant now) {
  AddToMean(mean_tokens_, static_cast<double>(request.tokens));
  AddToMean(mean_seconds_, Seconds(request.end - now));
  const auto place =
      std::ranges::upper_bound(requests_, request.end, {}, &Request::end);
  requests_.insert(place, request);
}

std::uint32_t LoadForecast::AddOwn(Instant now,
                                   Instant end,
                                   std::int64_t tokens) {
  RemoveExpired(now);
  if (requests_.size() >= kMaxRequests && !DropOneOther()) {
    return 0;
  }
  last_id_ += last_id_ == UINT32_MAX ? 2 : 1;
  Insert({end, now, tokens, last_id_}, now);
  return last_id_;
}

void LoadForecast::AddOther(Instant now, Instant end, std::int64_t tokens) {
  RemoveExpired(now);
  if (requests_.size() < kMaxRequests || DropOneOther()) {
    Insert({end, now, tokens, 0}, now);
  }
}

void LoadForecast::SetEnd(std::uint32_t id, Instant end) {
  const auto found = std::ranges::find(requests_, id, &Request::id);
  if (id == 0 || found == requests_.end()) {
    return;
  }
  Request request = *found;
  request.end = end;
  requests_.erase(found);
  requests_.insert(std::ranges::upper_bound(requests_, end, {}, &Request::end),
                   request);
}

void LoadForecast::RemoveOwn(std::uint32_t id) {
  const auto found = std::ranges::find(requests_, id, &Request::id);
  if (id != 0 && found != requests_.end()) {
    requests_.erase(found);
  }
}

void LoadForecast::OnReport(int requests, Instant measured_at) {
  if (measured_at < reported_at_) {
    return;
  }
  RemoveExpired(measured_at);
  const Instant arrived_by = measured_at - kTransitTime;
  const auto counts = [&](const Request& request) {
    return request.sent_at <= arrived_by;
  };
  int known = static_cast<int>(
      std::ranges::count_if(requests_, [&](const Request& request) {
        return counts(request) && IsLive(request, measured_at);
      }));
  // Requests that have outlived their expected end are the likeliest not to
  // have ended if there are more, the latest first.
  for (auto request = requests_.rbegin(); request != requests_.rend();
       ++request) {
    if (known < requests && counts(*request) &&
        !IsLive(*request, measured_at)) {
      request->end = measured_at + OverdueTime();
      ++known;
    }
  }
  // If there are fewer, the ones that were expected to end first have ended.
  std::erase_if(requests_, [&](const Request& request) {
    if (request.id != 0 || !counts(request)) {
      return false;
    }
    if (!IsLive(request, measured_at)) {
      return true;
    }
    if (known <= requests) {
      return false;
    }
    --known;
    return true;
  });
  std::ranges::stable_sort(requests_, {}, &Request::end);
  const double unknown = std::max(0, requests - known);
  const double weight =
      1 - std::exp(-Seconds(measured_at - reported_at_) / kUnknownMeanSeconds);
  mean_unknown_ += weight * (unknown - mean_unknown_);
  unknown_ = unknown;
  reported_at_ = measured_at;
}

// Unknown requests end like others, and as many follow as there are on average.
double LoadForecast::Unknown(Instant now) const {
  const double age = std::max(0.0, Seconds(now - reported_at_));
  const double left = std::exp(-age / MeanSeconds());
  return (mean_unknown_ + (unknown_ - mean_unknown_) * left) *
         std::exp(-age / kUnknownFadeSeconds);
}

double LoadForecast::MeanSeconds() const {
  return mean_seconds_ > 0 ? mean_seconds_ : kDefaultSeconds;
}

int LoadForecast::Requests(Instant now) const {
  const auto live = std::ranges::count_if(
      requests_, [&](const Request& request) { return IsLive(request, now); });
  return static_cast<int>(live) + static_cast<int>(std::lround(Unknown(now)));
}

Micros LoadForecast::WaitForSlot(int slots, Instant now) const {
  const int requests = Requests(now);
  const int ends_needed = requests - std::max(1, slots) + 1;
  if (ends_needed <= 0) {
    return Micros(0);
  }
  std::vector<Instant> ends;
  ends.reserve(static_cast<std::size_t>(requests));
  for (const Request& request : requests_) {
    if (IsLive(request, now)) {
      ends.push_back(ExpectedEnd(request, now));
    }
  }
  // The ends of the unknown ones are spread evenly over the mean duration.
  const int unknown = requests - static_cast<int>(ends.size());
  for (int i = 1; i <= unknown; ++i) {
    ends.push_back(now + FromSeconds(MeanSeconds() * i / unknown));
  }
  const auto needed = ends.begin() + (ends_needed - 1);
  std::ranges::nth_element(ends, needed);
  return *needed - now;
}

std::int64_t LoadForecast::Tokens(Instant now) const {
  std::int64_t tokens = 0;
  for (const Request& request : requests_) {
    if (IsLive(request, now - kMaxOverdue)) {
      tokens += request.tokens;
    }
  }
  return tokens + static_cast<std::int64_t>(Unknown(now) * mean_tokens_);
}

Instant LoadForecast::TimeOfTokens(std::int64_t limit, Instant now) const {
  std::int64_t tokens = Tokens(now);
  Instant at = now;
  for (const Request& request : requests_) {
    if (tokens <= limit) {
      return at;
    }
    if (IsLive(request, now - kMaxOverdue)) {
      tokens -= request.tokens;
      at = std::max(at, ExpectedEnd(request, now));
    }
  }
  // What is left is held by unknown requests.
  return tokens <= limit ? at : std::max(at, now + FromSeconds(MeanSeconds()));
}

}  // namespace jackdaw::serving
