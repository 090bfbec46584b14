#pragma once

#include <deque>

#include "core/time.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Length of the window in which loads from the weight store are limited.
inline constexpr Micros kLoadWindow = 5s;

/// Limits the model loads that the leader starts from the weight store: in each
/// window to a fraction of the store's rate, and at any time to the number that
/// the store serves concurrently at full speed. This keeps the store from being
/// overloaded when many models are requested at once.
class LoadBudget {
 public:
  /// The instance has become the leader. The loads that the previous leader
  /// started are unknown, so some are assumed to have started now.
  void OnLeaseAcquired(Instant now);
  /// A load from the weight store starts.
  void OnLoadStarted(Instant now);
  /// @returns the number of loads that may start now; 0 or less if none may
  int Available(const EngineSpec& offer, Instant now) const;
  /// Returns the loads started since startup.
  std::uint64_t started() const { return started_; }

 private:
  std::deque<Instant> loads_;
  std::uint64_t started_ = 0;
};

}  // namespace jackdaw::serving
