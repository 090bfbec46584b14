#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "core/time.h"
#include "quota/local_quotas.h"

namespace jackdaw {

/// Checks that the units of the requests that reach targets stay within each
/// workspace's quota in any window.
class QuotaAuditor {
 public:
  QuotaAuditor(const serving::QuotaTolerance& tolerance, Micros window)
      : tolerance_(tolerance), window_(window) {}

  /// Sets a quota, in force for what is sent from now on. A lower one binds a
  /// window later.
  void SetQuota(std::size_t workspace, double rate, double burst, Instant now) {
    const double seconds = std::chrono::duration<double>(window_).count();
    State& state = states_[workspace];
    const double bound = (rate * seconds + burst) * (1 + tolerance_.overshoot) +
                         tolerance_.slack;
    state.lowered_at = bound < state.bound ? now + window_ : Instant{};
    state.previous_bound = std::max(state.bound, bound);
    state.bound = bound;
  }

  /// A request reaches a target.
  void OnRun(std::size_t workspace, double units, Instant now) {
    State& state = states_[workspace];
    state.runs.emplace_back(now, units);
    state.sum += units;
    while (now - state.runs.front().first > window_) {
      state.sum -= state.runs.front().second;
      state.runs.pop_front();
    }
    const double bound =
        now < state.lowered_at ? state.previous_bound : state.bound;
    most_over_ = std::max(most_over_, state.sum - bound);
  }

  /// Most units over the bound; 0 if none.
  double most_over() const { return most_over_; }

 private:
  struct State {
    double bound = 0;
    double previous_bound = 0;
    Instant lowered_at{};
    double sum = 0;
    std::deque<std::pair<Instant, double>> runs;
  };

  serving::QuotaTolerance tolerance_;
  Micros window_;
  std::map<std::size_t, State> states_;
  double most_over_ = 0;
};

}  // namespace jackdaw
