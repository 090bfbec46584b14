#include "replay/trace_run.h"

#include "replay/joined_budgets.h"
#include "replay/trace_runner.h"
#include "routing/policies.h"

namespace jackdaw {
namespace {

// Instances with equal shares exchange nothing and keep no request waiting.
struct SeparateBudgets {
  static EqualSplit MakeBudget(std::int64_t /*instance*/) {
    return EqualSplit(kTraceInstances);
  }
  void Join(TraceWorld& /*world*/,
            std::size_t /*instance*/,
            EqualSplit& /*budget*/) {}
  void Leave(TraceWorld& /*world*/, std::size_t /*instance*/) {}
  template <typename Node, typename Again>
  bool Wait(TraceWorld& /*world*/,
            Node& /*node*/,
            const std::string& /*workspace*/,
            std::int64_t /*tokens*/,
            Instant /*arrived*/,
            const Again& /*again*/) {
    return false;
  }
};

}  // namespace

Result<Figures> RunTrace(const Trace& trace, TracePolicy policy) {
  const TraceShape* shape = FindTraceShape(trace.deployment);
  if (shape == nullptr) {
    return Error{ErrorKind::kNotFound,
                 "no deployment '" + trace.deployment + "'",
                 "use ponte-nordeste or lantern-permits"};
  }
  if (policy == TracePolicy::kBaseline) {
    return TraceRunner<EqualSplit, BasicRouter<RoundRobin>, SeparateBudgets>(
               trace, *shape)
        .Run();
  }
  return TraceRunner<EscrowBudget, Router, JoinedBudgets>(trace, *shape).Run();
}

}  // namespace jackdaw
