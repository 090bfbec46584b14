#include "gateway/model_waits.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Time until the leader has heard of the need and made room, and until all
// instances know of the load.
constexpr Micros kOrderTime = 1200ms;
// Shortest time after which a caller is to come back.
constexpr Micros kLeastWait = 700ms;
// Silence after which a model counts as not asked for.
constexpr Micros kForgotten = 5s;
// Most models that are remembered.
constexpr std::size_t kMostModels = 1024;

}  // namespace

ModelWaits::Wait ModelWaits::OnMissing(const std::string& name,
                                       Micros load_time,
                                       Instant now) {
  if (asked_.size() >= kMostModels) {
    Forget(now);
  }
  const auto [asked, added] = asked_.try_emplace(name, Asked{now, now});
  Wait wait;
  wait.is_new = added || now - asked->second.last > kForgotten;
  if (wait.is_new) {
    asked->second.first = now;
  }
  asked->second.last = now;
  // A load that is late was held up behind others, by about as much again.
  const Instant expected = asked->second.first + kOrderTime + load_time;
  const Instant overdue = now + std::max(kLeastWait, load_time / 2);
  wait.come_back =
      expected > now ? std::max(expected, now + kLeastWait) : overdue;
  return wait;
}

void ModelWaits::Forget(Instant now) {
  std::erase_if(asked_, [&](const auto& entry) {
    return now - entry.second.last > kForgotten;
  });
}

}  // namespace jackdaw::serving
