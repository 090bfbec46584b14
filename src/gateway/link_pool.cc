#include "gateway/link_pool.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Idle connections kept to one target.
constexpr std::size_t kMostIdle = 16;
// Targets with idle connections before expired ones are looked for.
constexpr std::size_t kMostTargets = 256;
// Time that a connection is kept where the target names none.
constexpr Micros kDefaultKeep = 20s;
// A connection is given up this long before the target closes it.
constexpr Micros kKeepMargin = 500ms;

}  // namespace

LinkPtr LinkPool::Take(const Target& target, Instant idle_since) {
  const auto found = idle_.find(KeyOf(target));
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

// Incarnations that have ended leave connections behind.
void LinkPool::DropExpired(Instant now) {
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second, [&](const LinkPtr& link) {
      const bool keep = link->usable() && now < link->keep_until();
      if (!keep) {
        link->Close();
      }
      return !keep;
    });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
}

void LinkPool::Give(const Target& target, LinkPtr link, int keep_seconds) {
  if (idle_.size() > kMostTargets) {
    DropExpired(clock_.Now());
  }
  auto& links = idle_[KeyOf(target)];
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
  const auto found = idle_.find(KeyOf(target));
  if (found == idle_.end()) {
    return;
  }
  for (const LinkPtr& link : found->second) {
    link->Close();
  }
  idle_.erase(found);
}

}  // namespace jackdaw::serving
