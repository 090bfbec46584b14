#include "replay/command.h"

#include <array>

namespace jackdaw {

std::span<const ReplayCommand> ReplayCommands() {
  static constexpr std::array kCommands{
      ReplayCommand{"bench", "one deterministic signature over all decisions",
                    BenchCommand},
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
