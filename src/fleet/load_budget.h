#pragma once

#include <deque>

#include "core/time.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Window of the bound on loads from the weight store.
inline constexpr Micros kLoadWindow = 5s;

/// Loads that the leader may begin from the weight store: within part of the
/// store's rate in each window, and no more at once than it carries at full
/// speed. Answers the load of many models that are asked for at once.
class LoadBudget {
 public:
  /// The instance has become the leader: what the last one began is unknown.
  void OnTerm(Instant now);
  /// A load begins.
  void OnLoad(Instant now);
  /// @returns loads that may begin now; not above 0 where none may
  int Free(const EngineSpec& offer, Instant now) const;
  /// Loads begun since the start.
  std::uint64_t begun() const { return begun_; }

 private:
  std::deque<Instant> loads_;
  std::uint64_t begun_ = 0;
};

}  // namespace jackdaw::serving
