#include "replay/command.h"

#include <array>

namespace jackdaw {

std::span<const ReplayCommand> ReplayCommands() {
  static constexpr std::array kCommands{
      ReplayCommand{"bench", "one deterministic signature over all decisions",
                    BenchCommand},
      ReplayCommand{"budgets", "ways to hold budgets, compared under faults",
                    BudgetsCommand},
      ReplayCommand{"refusals", "refusal records: puts, bytes, losses",
                    RefusalsCommand},
  };
  return kCommands;
}

}  // namespace jackdaw
