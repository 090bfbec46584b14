#include "replay/command.h"

#include <array>

namespace jackdaw {

std::span<const ReplayCommand> ReplayCommands() {
  static constexpr std::array kCommands{
      ReplayCommand{"bench", "one deterministic signature over all decisions",
                    BenchCommand},
      ReplayCommand{"budgets", "ways to hold budgets, compared under faults",
                    BudgetsCommand},
      ReplayCommand{"membership", "membership: cost, detection, propagation",
                    MembershipCommand},
      ReplayCommand{"placement", "ways to place models, compared in figures",
                    PlacementCommand},
      ReplayCommand{"routing",
                    "routing policies and retries against fake engines",
                    RoutingCommand},
      ReplayCommand{"refusals", "refusal records: puts, bytes, losses",
                    RefusalsCommand},
  };
  return kCommands;
}

}  // namespace jackdaw
