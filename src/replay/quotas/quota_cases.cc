#include <array>

#include "replay/quotas/quota_case.h"

namespace jackdaw {

std::span<const QuotaCase> QuotaCases() {
  static constexpr std::array kCases{
      QuotaCase{"no-fault"},
      QuotaCase{"skewed", QuotaFault::kNone, 0.8},
      QuotaCase{"surge", QuotaFault::kNone, 0, 6},
      QuotaCase{"holder-lost", QuotaFault::kLost},
      QuotaCase{"holder-paused", QuotaFault::kPaused},
      QuotaCase{"holder-paused-long", QuotaFault::kPausedLong},
      QuotaCase{"holder-cut-from-leader", QuotaFault::kCutFromLeader},
      QuotaCase{"third-cut-off", QuotaFault::kPartition},
      QuotaCase{"quota-halved", QuotaFault::kLowered},
      QuotaCase{"store-restored", QuotaFault::kRestored},
      QuotaCase{"all-restarted", QuotaFault::kRestarted},
      QuotaCase{"rolling-restart", QuotaFault::kRolling},
  };
  return kCases;
}

std::string_view Name(QuotaWay way) {
  constexpr std::array<std::string_view, 4> kNames{
      "equal-parts", "held-parts", "held-parts-ahead", "ignores-lapse"};
  return kNames.at(static_cast<std::size_t>(way));
}

}  // namespace jackdaw
