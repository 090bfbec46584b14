#include "gateway/target_connection_pool.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Idle connections per target, at most.
constexpr std::size_t kMaxIdlePerTarget = 16;
// Number of targets with idle connections above which expired ones are closed.
constexpr std::size_t kMaxTargetsBeforeCleanup = 256;
// Time for which an idle connection is kept if the target specifies none.
constexpr Micros kDefaultKeepAlive = 20s;
// A connection expires this long before the target closes it.
constexpr Micros kKeepAliveMargin = 500ms;

}  // namespace

TargetConnectionPtr TargetConnectionPool::Acquire(const Target& target,
                                                  Instant idle_since,
                                                  std::string_view request_id) {
  const auto found = idle_.find(KeyOf(target));
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  const Instant now = clock_.Now();
  std::erase_if(connections, [&](const TargetConnectionPtr& connection) {
    if (connection->usable() && now < connection->keep_until()) {
      return false;
    }
    connection->Close();
    return true;
  });
  const auto newest =
      std::find_if(connections.rbegin(), connections.rend(),
                   [&](const TargetConnectionPtr& connection) {
                     return !connection->request_ids().Contains(request_id);
                   });
  if (newest == connections.rend() || (*newest)->idle_since() < idle_since) {
    return nullptr;
  }
  TargetConnectionPtr connection = std::move(*newest);
  connections.erase(std::next(newest).base());
  return connection;
}

// Closes all expired connections. Acquire never sees those to earlier
// incarnations of targets, so they are closed only here.
void TargetConnectionPool::CloseExpired(Instant now) {
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second, [&](const TargetConnectionPtr& connection) {
      const bool keep = connection->usable() && now < connection->keep_until();
      if (!keep) {
        connection->Close();
      }
      return !keep;
    });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
}

void TargetConnectionPool::Release(const Target& target,
                                   TargetConnectionPtr connection,
                                   int keep_seconds) {
  if (idle_.size() > kMaxTargetsBeforeCleanup) {
    CloseExpired(clock_.Now());
  }
  auto& connections = idle_[KeyOf(target)];
  if (!connection->usable() || target.leaving ||
      connections.size() >= kMaxIdlePerTarget) {
    connection->Close();
    return;
  }
  const Instant now = clock_.Now();
  const Micros keep = keep_seconds > 0
                          ? Micros(std::chrono::seconds(keep_seconds))
                          : kDefaultKeepAlive;
  connection->Detach();
  connection->set_idle_since(now);
  connection->set_keep_until(now + keep - kKeepAliveMargin);
  connections.push_back(std::move(connection));
}

void TargetConnectionPool::CloseIdle(const Target& target) {
  const auto found = idle_.find(KeyOf(target));
  if (found == idle_.end()) {
    return;
  }
  for (const TargetConnectionPtr& connection : found->second) {
    connection->Close();
  }
  idle_.erase(found);
}

}  // namespace jackdaw::serving
