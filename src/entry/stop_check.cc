#include "entry/stop_check.h"

#include "entry/key_check.h"

namespace jackdaw {

std::optional<Refusal> FindStopReason(const InstanceContext& context,
                                      const CallerRequest& request) {
  if (context.run_state.end_requests) {
    return Refusal{RefusalKind::kLeaving, Ran::kUnknown,
                   "the instance must end before the answer is whole",
                   context.clock.Now() + 1s};
  }
  // A request without a workspace is on an open route, which needs no key.
  return request.workspace.empty() ? std::nullopt
                                   : CheckKeyValid(context, request.key_digest);
}

}  // namespace jackdaw
