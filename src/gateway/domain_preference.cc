#include "gateway/domain_preference.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Change of the part that leaves with a request that its own domain serves too
// slowly, and with one that it serves well. It shrinks more slowly than it
// grows, so that traffic does not swing back as soon as the first requests have
// left.
constexpr double kShareGrowth = 0.08;
constexpr double kShareDecay = 0.03;

}  // namespace

DomainReason DomainPreference::Decide(const DomainChoice& choice, double draw) {
  if (!std::isfinite(choice.own_ms)) {
    return DomainReason::kNoOwnTarget;
  }
  if (choice.own_ms <= settings_.stay_share * choice.objective_ms) {
    share_ = std::max(0.0, share_ - kShareDecay);
    return DomainReason::kStays;
  }
  if (choice.other_ms + settings_.cost_ms >= choice.own_ms) {
    return DomainReason::kStays;
  }
  share_ = std::min(1.0, share_ + kShareGrowth);
  if (choice.own_ms > choice.objective_ms) {
    return DomainReason::kOwnLate;
  }
  return draw < share_ ? DomainReason::kSpillover : DomainReason::kHeldBack;
}

}  // namespace jackdaw::serving
