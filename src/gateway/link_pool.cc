#include "gateway/link_pool.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Idle connections kept to one target.
constexpr std::size_t kMostIdle = 16;
// Time that a connection is kept where the target names none.
constexpr Micros kDefaultKeep = 20s;
// A connection is given up this long before the target closes it.
constexpr Micros kKeepMargin = 500ms;

}  // namespace

LinkPtr LinkPool::Take(const Target& target, Instant idle_since) {
  const auto found = idle_.find(&target);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& links = found->second;
  const Instant now = clock_.Now();
  std::erase_if(links, [&](const LinkPtr& link) {
    if (link->usable() && now < link->keep_until()) {
      return false;
    }
    link->Close();
    return true;
  });
  if (links.empty() || links.back()->idle_since() < idle_since) {
    return nullptr;
  }
  LinkPtr link = std::move(links.back());
  links.pop_back();
  return link;
}

void LinkPool::Give(const Target& target, LinkPtr link, int keep_seconds) {
  auto& links = idle_[&target];
  if (!link->usable() || target.leaving || links.size() >= kMostIdle) {
    link->Close();
    return;
  }
  const Instant now = clock_.Now();
  const Micros keep = keep_seconds > 0
                          ? Micros(std::chrono::seconds(keep_seconds))
                          : kDefaultKeep;
  link->Detach();
  link->set_idle_since(now);
  link->set_keep_until(now + keep - kKeepMargin);
  links.push_back(std::move(link));
}

void LinkPool::Drop(const Target& target) {
  const auto found = idle_.find(&target);
  if (found == idle_.end()) {
    return;
  }
  for (const LinkPtr& link : found->second) {
    link->Close();
  }
  idle_.erase(found);
}

}  // namespace jackdaw::serving
