#include "entry/stop_check.h"

namespace jackdaw {

std::optional<Refusal> StopReason(const InstanceContext& context,
                                  const CallerRequest& request) {
  if (context.run_state.must_end) {
    return Refusal{RefusalKind::kLeaving, Ran::kUnknown,
                   "the instance must end before the answer is whole",
                   context.clock.Now() + 1s};
  }
  // Open routes look at no key.
  const bool keyed = !request.workspace.empty();
  if (keyed && !context.view.Get()->live_keys.contains(request.key_digest)) {
    return Refusal{RefusalKind::kWithdrawnKey, Ran::kUnknown,
                   "the key was withdrawn while the request was served",
                   Instant{}};
  }
  return std::nullopt;
}

}  // namespace jackdaw
