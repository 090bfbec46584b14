#include "entry/key_check.h"

namespace jackdaw {

Instant KeysValidUntil(const InstanceContext& context) {
  return Instant(Micros(context.run_state.keys_valid_until_us.load()));
}

std::optional<Refusal> CheckKeyValid(const InstanceContext& context,
                                     const std::string& key_digest) {
  if (!context.view.Get()->live_keys.contains(key_digest)) {
    return Refusal{RefusalKind::kWithdrawnKey, Ran::kUnknown,
                   "the key was withdrawn during the request", Instant{}};
  }
  const Instant now = context.clock.Now();
  if (now > KeysValidUntil(context)) {
    return Refusal{
        RefusalKind::kStaleView, Ran::kUnknown,
        "the instance stood still and has not looked yet whether the key "
        "still stands",
        now + 1s};
  }
  return std::nullopt;
}

}  // namespace jackdaw
