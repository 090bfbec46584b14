#include "replay/trace_run.h"

#include "replay/trace_runner.h"

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
  void Leave(std::size_t /*instance*/) {}
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
  static_cast<void>(policy);
  return TraceRunner<EqualSplit, Router, SeparateBudgets>(trace, *shape).Run();
}

}  // namespace jackdaw
