#include "fleet/relay_budget.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Share of the link that relayed rows may take.
constexpr double kLinkShare = 0.2;
constexpr double kBytesPerMbit = 1e6 / 8;

}  // namespace

RelayBudget::RelayBudget(double link_mbps)
    : bytes_per_s_(link_mbps * kBytesPerMbit * kLinkShare) {}

std::size_t RelayBudget::OfRound(Micros round) const {
  return static_cast<std::size_t>(bytes_per_s_ *
                                  std::chrono::duration<double>(round).count());
}

std::size_t RelayBudget::Left(Instant now, Micros round) {
  if (now >= round_end_) {
    round_end_ = now + round;
    left_ = OfRound(round);
  }
  return left_;
}

void RelayBudget::Spend(std::size_t bytes) {
  left_ -= std::min(left_, bytes);
  total_ += bytes;
}

}  // namespace jackdaw::serving
