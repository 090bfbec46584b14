#include "replay/command.h"

#include <array>

namespace jackdaw {

std::span<const ReplayCommand> ReplayCommands() {
  static constexpr std::array kCommands{
      ReplayCommand{"bench", "one deterministic signature over all decisions",
                    BenchCommand},
      ReplayCommand{"budgets", "ways to hold budgets, compared under faults",
                    BudgetsCommand},
      ReplayCommand{"quotas", "ways to hold quotas, compared at any size",
                    QuotasCommand},
      ReplayCommand{"membership", "membership: cost, detection, propagation",
                    MembershipCommand},
      ReplayCommand{"placement", "ways to place models, compared in figures",
                    PlacementCommand},
      ReplayCommand{"routing",
                    "routing policies and retries against fake engines",
                    RoutingCommand},
      ReplayCommand{"refusals", "refusal records: puts, bytes, losses",
                    RefusalsCommand},
      ReplayCommand{"once", "table writes of calls that run at most once",
                    OnceCommand},
      ReplayCommand{"generate", "write a trace for a deployment and a fault",
                    GenerateCommand},
      ReplayCommand{"run", "replay a trace and check stated outcomes",
                    RunTraceCommand},
      ReplayCommand{"random", "randomised histories with checked invariants",
                    RandomCommand},
      ReplayCommand{"capacity", "measure what each role costs by size",
                    CapacityCommand},
      ReplayCommand{"report", "draw a figure of printed results as SVG",
                    ReportCommand},
  };
  return kCommands;
}

}  // namespace jackdaw
