#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "gateway/target.h"
#include "gateway/target_connection.h"

namespace jackdaw::serving {

/// Idle connections to targets, kept for reuse. A connection belongs to one
/// incarnation of a target.
class TargetConnectionPool {
 public:
  TargetConnectionPool(boost::asio::io_context& context,
                       const MonotonicClock& clock)
      : context_(context), clock_(clock) {}

  /// Takes an idle connection out of the pool. One that has carried a request
  /// of the same id is left there: a late response to that one could not be
  /// told from the response to this one.
  /// @param idle_since the connection must have been used at this time or later
  /// @param request_id id of the request that is to be sent
  /// @returns null if there is none
  TargetConnectionPtr Acquire(const Target& target,
                              Instant idle_since,
                              std::string_view request_id);
  /// Creates a connection that is not open yet.
  TargetConnectionPtr Create() {
    return std::make_shared<TargetConnection>(context_, open_);
  }
  /// Returns the number of connections that exist, in use or idle.
  std::size_t open() const { return *open_; }
  /// Returns a connection to the pool after its response was read up to an
  /// explicit end.
  /// @param keep_seconds how long the target keeps it open; 0 if unknown
  void Release(const Target& target,
               TargetConnectionPtr connection,
               int keep_seconds);
  /// Closes the idle connections to a target that was removed.
  void CloseIdle(const Target& target);

 private:
  /// Id and start time of a target, so that a later incarnation never gets the
  /// connections of an earlier one.
  using Key = std::pair<std::string, std::int64_t>;

  static Key KeyOf(const Target& target) {
    return {target.entry.id, target.entry.born_ms};
  }
  void CloseExpired(Instant now);

  boost::asio::io_context& context_;
  const MonotonicClock& clock_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
  std::map<Key, std::vector<TargetConnectionPtr>> idle_;
};

}  // namespace jackdaw::serving
