#pragma once

#include <cstdint>

#include "core/time.h"

namespace jackdaw::serving {

/// Settings of DomainPreference.
struct DomainPreferenceSettings {
  /// Otherwise a target of another domain has a constant cost.
  bool enabled = false;
  /// Part of a request's time to its objective that it may spend in its own
  /// failure domain although another one is faster.
  double stay_share = 0.3;
  /// Time by which another failure domain has to be faster: a longer round trip
  /// and the price of the bytes.
  double cost_ms = 12;
};

/// The best targets for one request, in its own failure domain and elsewhere.
struct DomainChoice {
  /// Expected times to the first byte; infinite where there is no target.
  double own_ms = 0;
  double other_ms = 0;
  /// Time left to the request's latency objective.
  double objective_ms = 0;
};

/// Why a request stays in its failure domain or leaves it.
enum class DomainReason : std::uint8_t {
  /// Its own domain serves it on time, or other domains are not faster.
  kStays,
  /// Its domain is short of capacity, and this request is not in the part that
  /// leaves.
  kHeldBack,
  /// No target of its domain can serve it.
  kNoOwnTarget,
  /// Its own domain would serve it late.
  kOwnLate,
  /// Its domain is short of capacity, and the request is in the part that
  /// leaves.
  kSpillover,
};

/// Decides for each request of an instance whether it leaves the failure
/// domain, for the load at which a domain's own targets are too few while
/// others have room.
///
/// While their own domain serves requests well within their objective they
/// stay, even if another domain is a little faster: traffic between domains is
/// slower and costs money, and prompts are cached in their own. When the domain
/// gets short, a part leaves that grows with each request that it would serve
/// too slowly and shrinks with each one that it serves well. The part changes
/// gradually since all instances see the same shortage at the same time;
/// leaving together, they would move the queue instead of ending it. Requests
/// that their own domain would serve late leave at once.
class DomainPreference {
 public:
  explicit DomainPreference(const DomainPreferenceSettings& settings)
      : settings_(settings) {}

  /// @param draw random number from 0 to 1, for the part that leaves
  DomainReason Decide(const DomainChoice& choice, double draw);

  /// Part of the requests that leaves, from 0 to 1.
  double share() const { return share_; }
  bool enabled() const { return settings_.enabled; }

 private:
  DomainPreferenceSettings settings_;
  double share_ = 0;
};

/// Whether a request leaves its failure domain for a reason.
constexpr bool Leaves(DomainReason reason) {
  return reason == DomainReason::kNoOwnTarget ||
         reason == DomainReason::kOwnLate || reason == DomainReason::kSpillover;
}

}  // namespace jackdaw::serving
