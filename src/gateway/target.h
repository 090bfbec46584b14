#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "gateway/load_forecast.h"
#include "gateway/rate_limit.h"
#include "gateway/recent_ids.h"
#include "gateway/send_window.h"
#include "gateway/target_notice.h"
#include "gateway/target_speed.h"
#include "serving/target_registration.h"

namespace jackdaw::serving {

/// Returns a time span in milliseconds, with its fraction.
inline double Milliseconds(Micros span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// One target as an instance sees it: its entry, its reported load, and the
/// results of the instance's own requests.
struct Target {
  TargetRegistration entry;
  /// The entry was removed or is draining, or the target announced that it
  /// leaves: no new request is sent.
  bool leaving = false;
  /// The operator has evacuated its failure domain: no new request is sent.
  bool evacuated = false;
  /// The entry was removed, or another incarnation or address has replaced it.
  bool ended = false;
  /// Requests of this instance that have not ended.
  int in_flight = 0;
  /// Estimated time at which the target ends the prefill of the prompts that
  /// all instances have sent to it.
  Instant prefill_until{};
  /// Requests of this instance without a first byte.
  int awaiting_first_byte = 0;
  /// Time since which there has been such a request.
  Instant awaiting_since{};
  /// Time of the last byte received from the target.
  Instant last_received_at{};
  /// Ratio of the time that work takes to its nominal time.
  TargetSpeed speed;
  /// A target of the service has reported its speed. Only then the forecast and
  /// what follows from it replace the estimates below: targets that do not
  /// report it are served as before.
  bool uses_forecast = false;
  LoadForecast forecast;
  /// Time of a plain request that does not wait, as a moving average divided by
  /// the ratio of the speed; 0 before the first one.
  double plain_work_ms = 0;
  RateLimit rate_limit;
  SendWindow send_window;
  /// Another incarnation had the id before, which this instance saw.
  bool restarted = false;
  /// Whether the log says that the target is cold.
  bool logged_cold = false;
  TargetNotice notice;
  /// Load report, received with a response.
  bool has_load = false;
  int reported_running = 0;
  int reported_waiting = 0;
  int reported_slots = 0;
  Instant load_reported_at{};
  /// The other instances have not been told of the report.
  bool load_unsent = false;
  /// Sample of the long-term ratio that they have not been told of; 0 if none.
  double unsent_speed_sample = 0;
  /// Estimated requests at the target at `load_updated_at`: the last report
  /// plus the requests that all instances have sent since, decaying
  /// exponentially as requests end.
  double load = 0;
  Instant load_updated_at{};
  /// Duration of a request, as a moving average.
  double run_seconds = 1.5;
  /// Share of this instance's requests that failed, as a moving average.
  double failure_share = 0;
  Instant failure_share_updated_at{};
  /// End of the back-off after broken or failed connections: the target is not
  /// chosen before unless no other is left.
  Instant backoff_until{};
  int consecutive_failures = 0;
  /// Ids of requests that the target has refused.
  RecentIds refused_ids;
  /// Known adapters of the target, as `model/adapter`.
  std::set<std::string, std::less<>> adapters;
  /// Time at which each prompt part (see PartDigest) was last sent.
  std::unordered_map<std::uint64_t, Instant> prompt_parts;

  bool HoldsModel(std::string_view model) const {
    for (const auto& held : entry.models) {
      if (held.name == model) {
        return true;
      }
    }
    return false;
  }

  /// Whether this instance may send a request to the target now.
  bool AcceptsRequests(Instant now) const {
    return !leaving && !evacuated && !notice.Rests(now);
  }

  /// Returns how long this instance's requests have waited without any byte
  /// from the target.
  Micros TimeWithoutBytes(Instant now) const {
    return awaiting_first_byte > 0
               ? now - std::max(awaiting_since, last_received_at)
               : Micros(0);
  }

  /// Returns the share of failed requests after its decay since the last
  /// result.
  double FailureShare(Instant now) const {
    constexpr double kHalfLifeSeconds = 1.5;
    const double age =
        std::chrono::duration<double>(now - failure_share_updated_at).count();
    return failure_share * std::exp2(-age / kHalfLifeSeconds);
  }
  /// Returns the estimated number of requests that run or wait at the target.
  int EstimatedLoad(Instant now) const {
    if (uses_forecast) {
      return std::max(in_flight, forecast.Requests(now));
    }
    const double age =
        std::chrono::duration<double>(now - load_updated_at).count();
    const double left = load * std::exp(-std::max(0.0, age) / run_seconds);
    return std::max(in_flight, static_cast<int>(std::lround(left)));
  }
  /// Returns the number of requests that run at the same time, as the target
  /// reports it or else as its entry names it.
  int Slots() const {
    return std::max(1, reported_slots > 0 ? reported_slots : entry.slots);
  }
  /// Counts a request that this or another instance sent to the target.
  void AddLoad(Instant now) {
    const double age =
        std::chrono::duration<double>(now - load_updated_at).count();
    load = load * std::exp(-std::max(0.0, age) / run_seconds) + 1;
    load_updated_at = now;
  }
};

}  // namespace jackdaw::serving
