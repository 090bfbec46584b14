#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "serving/target_registration.h"

namespace jackdaw::serving {

/// What an instance believes of one target: its entry, the load that it told,
/// and what came of the instance's own requests.
struct Target {
  TargetRegistration entry;
  /// The entry has gone or says draining: no new request is sent.
  bool leaving = false;
  /// Requests of this instance that it has not finished.
  int in_flight = 0;
  /// Moment until which the target probably reads the prompts that all
  /// instances have sent to it.
  Instant reading_until{};
  /// Own requests without a first byte, since when there are any, and when the
  /// target was last heard.
  int awaiting = 0;
  Instant awaiting_since{};
  Instant heard_at{};
  /// Time to read prompts against the time expected, an average.
  double slowness = 1;
  /// Load as told with an answer.
  bool has_load = false;
  int told_waiting = 0;
  Instant told_at{};
  /// Requests there as last told and as sent by all instances since, which
  /// end as time passes, and the moment that the figure is of.
  double load = 0;
  Instant load_at{};
  /// Time for which a request runs there, an average.
  double run_seconds = 1.5;
  /// Share of own requests that the target failed, recent ones first.
  double failure_share = 0;
  Instant judged_at{};
  /// No request is sent before this, unless nothing else is left.
  Instant suspected_until{};
  int failures_in_row = 0;
  /// Adapters (`model/adapter`) that it is believed to hold.
  std::set<std::string, std::less<>> adapters;
  /// When each prompt part (see PartDigest) was last sent there.
  std::unordered_map<std::uint64_t, Instant> prompt_parts;

  bool HoldsModel(std::string_view model) const {
    for (const auto& held : entry.models) {
      if (held.name == model) {
        return true;
      }
    }
    return false;
  }

  /// How long own requests have waited without any byte from the target.
  Micros Silence(Instant now) const {
    return awaiting > 0 ? now - std::max(awaiting_since, heard_at) : Micros(0);
  }

  /// Requests that probably run or wait there now.
  int LikelyLoad(Instant now) const {
    const double age = std::chrono::duration<double>(now - load_at).count();
    const double left = load * std::exp(-std::max(0.0, age) / run_seconds);
    return std::max(in_flight, static_cast<int>(std::lround(left)));
  }
  /// A request was sent there, by whichever instance.
  void AddLoad(Instant now) {
    const double age = std::chrono::duration<double>(now - load_at).count();
    load = load * std::exp(-std::max(0.0, age) / run_seconds) + 1;
    load_at = now;
  }
};

}  // namespace jackdaw::serving
