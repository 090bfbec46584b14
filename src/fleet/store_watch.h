#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/random.h"
#include "fleet/table_version.h"
#include "platform/store_client.h"

namespace jackdaw::serving {

/// Time for which the store holds a call that waits for changes, and the margin
/// that the timeout of the call adds to it. A call made during an outage of the
/// store may stay unanswered after the outage ends, so it delays changes by up
/// to the sum of the two. While the store is lost, calls do not wait.
inline constexpr Micros kWatchWait = 1500ms;
inline constexpr Micros kWatchMargin = 700ms;

/// Calls that a watch has made to the store, by reason.
struct WatchCalls {
  /// Calls that waited for changes while the instance led.
  std::uint64_t as_leader = 0;
  /// The same while it did not lead.
  std::uint64_t as_follower = 0;
  /// Pages of snapshots.
  std::uint64_t snapshot = 0;
};

/// Watches one table of the store: reads a snapshot, then the changes. If the
/// store no longer has the history of changes, or came back from an older copy,
/// a new snapshot is read.
class StoreWatch {
 public:
  /// Callbacks for the rows, called on the event loop.
  struct Sink {
    /// All rows of the table, as of one version.
    std::function<void(const platform::RowSet&)> on_snapshot;
    /// Rows that were written or deleted since the last call; none if only the
    /// version has advanced.
    std::function<void(const platform::RowSet&)> on_changes;
    /// The store answers again after an outage, given the sending time of the
    /// last call that it did not serve. A call that was refused for the rate of
    /// calls is no sign of an outage.
    std::function<void(Instant refused_at)> on_reconnected;
  };

  /// @param seed seed of the delays
  StoreWatch(boost::asio::io_context& context,
             platform::StoreClient& store,
             const MonotonicClock& clock,
             std::string table,
             Sink sink,
             std::uint64_t seed = 0);

  /// Starts or stops the watch. It is stopped at first; while it is stopped, no
  /// call is made to the store.
  /// @param first_call_spread largest delay of the first call of an instance
  /// that does not lead
  void SetActive(bool active, Micros first_call_spread);
  /// States whether the instance leads, and others depend on this watch. The
  /// delays between the calls are then short.
  void SetLeads(bool leads);
  /// Makes the next call read a snapshot, although the version is known.
  void RequestSnapshot();
  /// The caller knows the table up to `version` from another source; the watch
  /// continues with later changes and skips the snapshot.
  void ResumeFrom(const TableVersion& version);
  /// Whether the last call to the store failed.
  bool lost() const { return lost_; }
  /// Returns the sending time of the last call that was not served because of
  /// an outage, if the store is lost by one.
  std::optional<Instant> refused_at() const { return refused_at_; }
  const WatchCalls& calls() const { return calls_; }

  /// Runs the watch and never returns; to be spawned once.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<bool> ReadSnapshot();
  boost::asio::awaitable<bool> ReadChanges();
  boost::asio::awaitable<void> Pause(Micros span);
  void OnFailure(const Error& error);
  void OnSuccess();
  bool IsOfLaterEpoch(const platform::RowSet& set) const;

  boost::asio::steady_timer wake_;
  platform::StoreClient& store_;
  const MonotonicClock& clock_;
  std::string table_;
  Sink sink_;
  Random random_;
  bool active_ = false;
  Micros first_call_spread_{};
  bool leads_ = false;
  /// The watch was started and has not made its first call.
  bool first_call_due_ = false;
  bool snapshot_requested_ = false;
  bool has_snapshot_ = false;
  bool lost_ = false;
  /// Sending time of the last call that an outage of the store has made fail
  /// since the store was lost.
  std::optional<Instant> refused_at_;
  TableVersion version_;
  int failures_ = 0;
  /// Sending time of the last call.
  Instant sent_at_{};
  WatchCalls calls_;
};

}  // namespace jackdaw::serving
