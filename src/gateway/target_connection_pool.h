#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "gateway/target.h"
#include "gateway/target_connection.h"

namespace jackdaw::serving {

/// Idle connections to targets, kept for the next request. A connection
/// belongs to one incarnation of a target.
class TargetConnectionPool {
 public:
  TargetConnectionPool(boost::asio::io_context& context,
                       const MonotonicClock& clock)
      : context_(context), clock_(clock) {}

  /// A kept connection that was used at or after `idle_since`.
  /// @returns null when there is none
  TargetConnectionPtr Acquire(const Target& target, Instant idle_since);
  /// A connection that is not open yet.
  TargetConnectionPtr Create() {
    return std::make_shared<TargetConnection>(context_);
  }
  /// Takes back a connection whose answer was read to its explicit end.
  /// @param keep_seconds for how long the target keeps it; 0 where unknown
  void Release(const Target& target,
               TargetConnectionPtr connection,
               int keep_seconds);
  /// Closes the idle connections to a target that is gone.
  void CloseIdle(const Target& target);

 private:
  /// Id and start of a target: a later incarnation never gets its connections.
  using Key = std::pair<std::string, std::int64_t>;

  static Key KeyOf(const Target& target) {
    return {target.entry.id, target.entry.born_ms};
  }
  void CloseExpired(Instant now);

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  std::map<Key, std::vector<TargetConnectionPtr>> idle_;
};

}  // namespace jackdaw::serving
